#pragma once

#include <functional>
#include <string>
#include <vector>

namespace camphorsaddle::bench {

//! \brief One measured figure with its target and its baselines.
struct figure {
    //! Area that the figure belongs to: requests, batch or state.
    std::string area;
    std::string name;
    std::string unit;
    //! Text of the bound, for instance "<= 1.5"; empty if the figure has no target.
    std::string target;
    //! Results of simpler algorithms or of an earlier version, for instance "round robin 4.2".
    std::string baseline;
    double value = 0;
    //! Whether the value is within the target; true for figures without a target.
    bool meetsTarget = true;
    //! The command or the seed that reproduces the value.
    std::string command;
};

//! \brief A group of figures that are measured together.
struct figure_group {
    std::string name;
    std::function<std::vector<figure>()> measure;
};

//! The figure groups of the folders bench/routing, bench/placement, bench/state and bench/configuration.
std::vector<figure_group> routingFigureGroups();
std::vector<figure_group> placementFigureGroups();
std::vector<figure_group> stateFigureGroups();
std::vector<figure_group> configurationFigureGroups();

} // namespace camphorsaddle::bench
