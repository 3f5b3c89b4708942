#pragma once

#include "tasks/coordinator/job_daemon_settings.h"

namespace camphorsaddle::tasks {

//! \brief Runs the tasks of a daemon that schedules jobs until SIGTERM or SIGINT; returns the exit code.
int runJobDaemon(const job_daemon_settings& settings, const deployment& format);

} // namespace camphorsaddle::tasks
