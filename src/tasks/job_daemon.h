#pragma once

#include "tasks/coordinator/job_daemon_settings.h"

namespace camphorsaddle::tasks {

//! \brief Runs a daemon that schedules jobs until SIGTERM or SIGINT; returns the exit code of the process.
int runJobDaemon(const job_daemon_settings& settings, const deployment& platform);

} // namespace camphorsaddle::tasks
