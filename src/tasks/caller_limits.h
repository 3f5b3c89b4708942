#pragma once

#include "settings/process_settings.h"
#include "transport/caller_limits.h"

namespace camphorsaddle::tasks {

//! \brief Limits of callers from the settings; those that are 0 are derived from \a host.
transport::caller_limits callerLimits(const settings::request_limits& limits, const transport::host_resources& host);

} // namespace camphorsaddle::tasks
