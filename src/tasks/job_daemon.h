#pragma once

#include "tasks/coordinator/job_daemon_settings.h"

namespace camphorsaddle::tasks {

//! \brief Runs the tasks of a daemon that schedules batch jobs until SIGTERM or SIGINT.
//!
//! Returns the exit code: 0 after a shutdown, 1 if the daemon could not start.
int runJobDaemon(const job_daemon_settings& settings, const deployment_adapter& deployment);

} // namespace camphorsaddle::tasks
