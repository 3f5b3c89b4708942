#include <functional>
#include <iostream>
#include <map>

#include "app/commands.h"
#include "platform/platform_adapter.h"

namespace {

using namespace camphorsaddle;

const std::map<std::string, std::function<int(app::arguments)>> commands {
    { "serve", app::runServe },
    { "check", app::runCheck },
    { "config", app::runConfig },
    { "job", app::runJob },
    { "evacuate", app::runEvacuate },
    { "status", app::runStatus },
    { "token", app::runToken },
    { "platform", [](const app::arguments&) {
         return platform::runPlatformDaemon();
     } },
};

int printUsage(std::ostream& output, int code)
{
    output << "usage: camphorsaddle COMMAND [OPTIONS]\n\n"
              "  serve   run a daemon\n"
              "  check   check settings or a configuration\n"
              "  config  get, submit, status, history of the configuration\n"
              "  job     submit, status, cancel, list of batch jobs\n"
              "  evacuate  start no batch tasks in a data centre, cancel, status\n"
              "  status  members and shards\n"
              "  token   hash of a team's token\n"
              "  platform  run a daemon on the users' platform\n\n"
              "camphorsaddle COMMAND --help lists the options of a command.\n"
              "CAMPHORSADDLE_TOKEN holds the token for commands that call a daemon.\n"
              "Exit codes: 0 success, 1 rejected or failed, 2 usage error.\n";
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    const app::arguments all(argv + 1, argv + argc);
    if (all.empty())
        return printUsage(std::cerr, app::UsageError);
    if (all.front() == "--help" || all.front() == "help")
        return printUsage(std::cout, app::Success);
    const auto found = commands.find(all.front());
    if (found == commands.end()) {
        std::cerr << "camphorsaddle: unknown command " << all.front() << "\n";
        return printUsage(std::cerr, app::UsageError);
    }
    return found->second(all);
}
