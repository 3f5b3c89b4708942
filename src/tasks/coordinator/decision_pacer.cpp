#include "tasks/coordinator/decision_pacer.h"

#include <algorithm>

namespace camphorsaddle::tasks {

namespace {

    // Batches events that arrive together, such as the replies to the start orders of a step, into one decision.
    constexpr utils::milliseconds minimumDelay { 4 };
    // Far below the time limits of orders, which decisions repeat.
    constexpr utils::milliseconds maximumPause { 100 };

} // namespace

utils::milliseconds decision_pacer::delay(utils::time_point now) const
{
    return std::max(minimumDelay, std::chrono::ceil<utils::milliseconds>(m_notBefore - now));
}

void decision_pacer::recordDecision(utils::time_point beganAt, utils::time_point endedAt)
{
    m_notBefore = endedAt + std::min<utils::time_point::duration>(endedAt - beganAt, maximumPause);
}

} // namespace camphorsaddle::tasks
