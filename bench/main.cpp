#include <iomanip>
#include <iostream>

#include "bench/figure.h"
#include "nlohmann/json.hpp"
#include "tclap/CmdLine.h"

namespace {

using namespace camphorsaddle::bench;

nlohmann::json toJson(const figure& value)
{
    return { { "area", value.area }, { "name", value.name }, { "unit", value.unit }, { "target", value.target }, { "baseline", value.baseline },
        { "value", value.value }, { "met", value.meetsTarget }, { "command", value.command } };
}

void print(const figure& value)
{
    const std::string verdict = value.target.empty() ? "shown" : value.meetsTarget ? "met"
                                                                                   : "MISSED";
    std::cout << std::left << std::setw(12) << value.area << std::setw(58) << value.name << std::right << std::setw(14) << value.value << " " << std::left << std::setw(14) << value.unit
              << std::setw(12) << value.target << std::setw(8) << verdict << value.baseline << "\n"
              << std::flush;
}

std::vector<figure_group> allGroups()
{
    std::vector<figure_group> groups;
    for (const auto& part : { routingFigureGroups(), placementFigureGroups(), stateFigureGroups(), configurationFigureGroups() })
        groups.insert(groups.end(), part.begin(), part.end());
    return groups;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Prints the measured figures with their targets and baselines.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> only("", "only", "measure the groups whose name begins with TEXT", false, "", "TEXT", line);
    TCLAP::SwitchArg asJson("", "json", "print JSON", line);
    line.parse(argc, argv);

    bool meetsTarget = true;
    auto list = nlohmann::json::array();
    for (const auto& group : allGroups()) {
        if (group.name.rfind(only.getValue(), 0) != 0)
            continue;
        for (const auto& value : group.measure()) {
            meetsTarget = meetsTarget && value.meetsTarget;
            if (asJson.getValue())
                list.push_back(toJson(value));
            else
                print(value);
        }
    }
    if (asJson.getValue())
        std::cout << list.dump(2) << "\n";
    return meetsTarget ? 0 : 1;
}
