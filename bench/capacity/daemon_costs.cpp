#include <unistd.h>

#include <fstream>
#include <sstream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "bench/capacity/cost_measurement.h"
#include "end_to_end/deployment.h"

namespace camphorsaddle::bench {

namespace {

    constexpr int deploymentNumber = 20;
    constexpr utils::seconds measurementInterval { 5 };

    //! Returns the processor time of a process, user and system, in seconds.
    double processorSeconds(int processId)
    {
        std::ifstream file(absl::StrCat("/proc/", processId, "/stat"));
        std::string text;
        std::getline(file, text);
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        std::string skippedField;
        // The user and system times follow 11 other fields after the process name.
        for (int field = 0; field < 11; ++field)
            fields >> skippedField;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    //! Returns the resident memory of a process, in MB.
    double residentMegabytes(int processId)
    {
        std::ifstream file(absl::StrCat("/proc/", processId, "/status"));
        std::string word;
        while (file >> word && word != "VmRSS:") { }
        double kilobytes = 0;
        file >> kilobytes;
        return kilobytes / 1000;
    }

    void measureDaemonAtRate(std::vector<cost_measurement>& measurements, int processId, double rate)
    {
        const double before = processorSeconds(processId);
        std::this_thread::sleep_for(measurementInterval);
        const double busyShare = (processorSeconds(processId) - before) / std::chrono::duration<double>(measurementInterval).count();
        measurements.push_back({ "daemon processor time", "% of a core", "requests/s to one daemon", rate, busyShare * 100 });
        measurements.push_back({ "daemon resident memory", "MB", "requests/s to one daemon", rate, residentMegabytes(processId) });
    }

} // namespace

std::vector<cost_measurement> measureDaemonCosts()
{
    std::vector<cost_measurement> measurements;
    end_to_end::deployment cluster(deploymentNumber);
    if (!cluster.start())
        return measurements;
    measureDaemonAtRate(measurements, cluster.daemon(0).id(), 0);
    for (const double rate : { 50.0, 100.0, 200.0 }) {
        standins::load_options options;
        options.targetUrls = { cluster.gatewayUrl(0) };
        options.service = "affirmation";
        options.tokenPrefix = absl::StrCat("rate-", rate);
        options.requestsPerSecond = rate;
        options.requestCount = static_cast<int>(rate * (std::chrono::duration<double>(measurementInterval).count() + 1));
        auto load = cluster.startLoad(options);
        measureDaemonAtRate(measurements, cluster.daemon(0).id(), rate);
        load.get();
    }
    return measurements;
}

} // namespace camphorsaddle::bench
