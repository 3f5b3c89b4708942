#pragma once

#include <functional>
#include <string>
#include <vector>

namespace camphorsaddle::bench {

//! \brief One measured figure beside its target and its baselines.
struct figure {
    //! Issue it belongs to: requests, batch, state.
    std::string area;
    std::string name;
    std::string unit;
    //! Text of the bound, for instance "<= 1.5"; empty when the figure is only shown.
    std::string target;
    //! Plain baselines or the earlier version, for instance "round robin 4.2".
    std::string baseline;
    double value = 0;
    //! Whether the value keeps the target; true for figures without one.
    bool meetsTarget = true;
    //! The command or seed that repeats it.
    std::string command;
};

//! \brief A group of figures that are measured together.
struct figure_group {
    std::string name;
    std::function<std::vector<figure>()> measure;
};

//! Each area defines its groups in bench/<area>/.
std::vector<figure_group> routingFigureGroups();
std::vector<figure_group> placementFigureGroups();
std::vector<figure_group> stateFigureGroups();
std::vector<figure_group> configurationFigureGroups();

} // namespace camphorsaddle::bench
