#include <iostream>
#include <string>

#include "access/token_hash.h"
#include "app/command_line.h"
#include "utils/errors.h"

namespace camphorsaddle::app {

int runToken(arguments arguments)
{
    TCLAP::CmdLine line("Reads the token TEAM:SECRET from the first line of standard input and prints its hash for teams.TEAM.token_hashes.", ' ', "0.1.0");
    std::vector<std::string> actions { "hash" };
    TCLAP::ValuesConstraint<std::string> allowedActions(actions);
    TCLAP::UnlabeledValueArg<std::string> action("action", "what to do", true, "", &allowedActions, line);
    return parseAndRun(line, arguments, [] {
        std::string token;
        std::getline(std::cin, token);
        const auto hash = access::hashToken(token);
        if (!hash.ok()) {
            std::cerr << utils::describe(hash.status()) << "\n";
            return static_cast<int>(UsageError);
        }
        std::cout << *hash << "\n";
        return static_cast<int>(Success);
    });
}

} // namespace camphorsaddle::app
