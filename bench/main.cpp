#include <iomanip>
#include <iostream>

#include "bench/figure.h"
#include "nlohmann/json.hpp"
#include "tclap/CmdLine.h"

namespace {

using namespace camphorsaddle::bench;

nlohmann::json toJson(const figure& measured)
{
    return { { "area", measured.area }, { "name", measured.name }, { "unit", measured.unit }, { "target", measured.target }, { "baseline", measured.baseline },
        { "value", measured.value }, { "met", measured.meetsTarget }, { "command", measured.command } };
}

void print(const figure& measured)
{
    const std::string verdict = measured.target.empty() ? "shown" : measured.meetsTarget ? "met"
                                                                                         : "MISSED";
    std::cout << std::left << std::setw(12) << measured.area << std::setw(58) << measured.name << std::right << std::setw(14) << measured.value << " " << std::left << std::setw(14) << measured.unit
              << std::setw(12) << measured.target << std::setw(8) << verdict << measured.baseline << "\n"
              << std::flush;
}

std::vector<figure_group> allGroups()
{
    std::vector<figure_group> groups;
    for (const auto& areaGroups : { routingFigureGroups(), placementFigureGroups(), stateFigureGroups(), configurationFigureGroups() })
        groups.insert(groups.end(), areaGroups.begin(), areaGroups.end());
    return groups;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Prints the measured figures with their targets and baselines.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> groupPrefix("", "only", "measure the groups whose name begins with TEXT", false, "", "TEXT", line);
    TCLAP::SwitchArg printsJson("", "json", "print JSON", line);
    line.parse(argc, argv);

    bool areTargetsMet = true;
    auto figuresJson = nlohmann::json::array();
    for (const auto& group : allGroups()) {
        if (group.name.rfind(groupPrefix.getValue(), 0) != 0)
            continue;
        for (const auto& measured : group.measure()) {
            areTargetsMet = areTargetsMet && measured.meetsTarget;
            if (printsJson.getValue())
                figuresJson.push_back(toJson(measured));
            else
                print(measured);
        }
    }
    if (printsJson.getValue())
        std::cout << figuresJson.dump(2) << "\n";
    return areTargetsMet ? 0 : 1;
}
