#include <fstream>
#include <iostream>
#include <iterator>

#include <tclap/CmdLine.h>

#include "standins/standin.h"
#include "utils/errors.h"

using namespace camphorsaddle;

int main(int argc, char** argv)
{
    using port_argument = TCLAP::ValueArg<std::uint16_t>;
    TCLAP::CmdLine line("Simulates the key-value service, the host list, the workers and the minions on the loopback interface.", ' ', "1");
    port_argument storePort("", "store-port", "port of the key-value service", false, 7001, "port", line);
    port_argument hostsPort("", "hosts-port", "port of the host list, the ledger and the faults of the hosts", false, 7002, "port", line);
    port_argument minionPort("", "first-minion-port", "port of the first minion", false, 7400, "port", line);
    port_argument workerPort("", "first-worker-port", "port of the first worker", false, 7600, "port", line);
    TCLAP::ValueArg<std::string> fleetFile("", "fleet", "JSON description of the fleet", true, "", "file", line);
    line.parse(argc, argv);

    std::ifstream file(fleetFile.getValue());
    const std::string text { std::istreambuf_iterator<char>(file), {} };
    const auto fleet = standins::parseFleet(text, minionPort.getValue(), workerPort.getValue());
    if (!fleet.ok()) {
        std::cerr << "standins: " << fleetFile.getValue() << ": " << utils::describe(fleet.status()) << "\n";
        return 2;
    }
    transport::event_loop loop;
    standins::delay_queue delays(loop);
    standins::ledger runLedger(loop.now());
    const standins::standin_context context { loop, delays, runLedger };
    const auto store = standins::makeStoreService(context, storePort.getValue());
    const auto hosts = standins::makeHostDirectory(context, *fleet, hostsPort.getValue());
    std::cout << "standins: " << fleet->size() << " hosts ready" << std::endl;
    loop.run();
}
