#pragma once

#include <iostream>

#include "app/commands.h"
#include "tclap/CmdLine.h"

namespace camphorsaddle::app {

//! \brief Parses the arguments and runs the command; returns its exit code, or 2 for a usage error.
template <typename Run>
int parseAndRun(TCLAP::CmdLine& line, arguments& arguments, Run run)
{
    line.setExceptionHandling(false);
    try {
        line.parse(arguments);
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "camphorsaddle " << arguments.front() << ": " << failure.argId() << ": " << failure.error() << "\n"
                  << "camphorsaddle " << arguments.front() << " --help lists the options.\n";
        return UsageError;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    return run();
}

} // namespace camphorsaddle::app
