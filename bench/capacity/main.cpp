#include <iomanip>
#include <iostream>

#include "bench/capacity/cost_measurement.h"
#include "tclap/CmdLine.h"

int main(int argc, char** argv)
{
    using namespace camphorsaddle::bench;
    TCLAP::CmdLine line("Prints the measured costs from which docs/CAPACITY.md is worked out.", ' ', "0.1.0");
    TCLAP::SwitchArg measuresDaemons("", "daemons", "also measure real daemons, for half a minute", line);
    TCLAP::SwitchArg measuresLeader("", "leader", "measure only the costs of a leader on the users' platform", line);
    line.parse(argc, argv);

    std::vector<std::vector<cost_measurement>> groups;
    if (measuresLeader.getValue())
        groups = { measureLeaderCosts(), measureRelayCosts() };
    else
        groups = { measureJournalCosts(), measureTaskRecordCosts(), measureWorkerCallCosts(), measureConfigurationCosts(), measureHeartbeatCosts(), measureLeaderCosts(), measureRelayCosts() };
    if (measuresDaemons.getValue())
        groups.push_back(measureDaemonCosts());
    for (const auto& group : groups) {
        for (const auto& measurement : group)
            std::cout << std::left << std::setw(32) << measurement.cost << std::right << std::setw(10) << measurement.size << " " << std::left << std::setw(26) << measurement.sizeUnit << std::right << std::setw(12) << measurement.value << " " << measurement.unit << "\n";
    }
}
