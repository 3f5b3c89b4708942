#pragma once

#include <string>
#include <vector>

namespace camphorsaddle::app {

//! \brief Exit codes of the process.
enum exit_code {
    Success = 0,
    Failure = 1,
    UsageError = 2,
};

//! \brief Command-line arguments without the program name; the first is the name of the command, which help texts show.
using arguments = std::vector<std::string>;

int runServe(arguments arguments);
int runCheck(arguments arguments);
int runConfig(arguments arguments);
int runJob(arguments arguments);
int runEvacuate(arguments arguments);
int runStatus(arguments arguments);
int runToken(arguments arguments);

} // namespace camphorsaddle::app
