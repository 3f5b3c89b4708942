#include <iomanip>

#include "app/administration_client.h"
#include "app/command_line.h"
#include "utils/errors.h"

namespace camphorsaddle::app {

namespace {

    void printTables(const nlohmann::json& body)
    {
        std::cout << "daemon " << body.value("daemon", "") << " in " << body.value("data_centre", "") << ", configuration revision " << body.value("configuration_revision", 0) << "\n\n"
                  << std::left << std::setw(24) << "DAEMON" << std::setw(16) << "DATA CENTRE" << std::setw(20) << "REGION"
                  << "HEARTBEATS\n";
        for (const auto& member : body["members"])
            std::cout << std::setw(24) << member.value("id", "") << std::setw(16) << member.value("data_centre", "") << std::setw(20) << member.value("region", "") << (member.value("silent", false) ? "missing" : "arriving") << "\n";
        std::cout << "\n"
                  << std::setw(24) << "SHARD" << std::setw(24) << "OWNER" << std::setw(8) << "EPOCH" << std::setw(12) << "STATE"
                  << "STARTS\n";
        for (const auto& shard : body.value("shards", nlohmann::json::array()))
            std::cout << std::setw(24) << shard.value("shard", "") << std::setw(24) << shard.value("owner", "") << std::setw(8) << shard.value("epoch", 0) << std::setw(12) << shard.value("state", "") << shard.value("starts", "") << "\n";
    }

} // namespace

int runStatus(arguments arguments)
{
    TCLAP::CmdLine line("Shows the members and shards that one daemon knows.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> url("", "admin", "administration address of any daemon", false, defaultAdministrationUrl, "URL", line);
    TCLAP::SwitchArg json("", "json", "print JSON", line);
    return parseAndRun(line, arguments, [&] {
        const auto response = callAdministration(url.getValue(), { .url = "/v1/status" });
        if (!response.ok()) {
            std::cerr << utils::describe(response.status()) << "\n";
            return static_cast<int>(Failure);
        }
        if (response->status != 200) {
            printErrorResponse(*response);
            return static_cast<int>(Failure);
        }
        if (json.getValue())
            std::cout << response->body << "\n";
        else
            printTables(parseBody(*response));
        return static_cast<int>(Success);
    });
}

} // namespace camphorsaddle::app
