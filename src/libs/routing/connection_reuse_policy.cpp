#include "routing/connection_reuse_policy.h"

namespace camphorsaddle::routing {

connection_reuse_policy::connection_reuse_policy(const connection_options& options)
    : m_options(options)
{
}

bool connection_reuse_policy::mayReuse(const connection_state& connection, bool isRepeatable, utils::time_point now) const
{
    if (connection.openedAt < m_retiredBefore || now - connection.openedAt >= m_options.maximumAge)
        return false;
    return now - connection.lastResponseAt < (isRepeatable ? m_options.idleTimeout : m_options.nonRepeatableIdleTimeout);
}

bool connection_reuse_policy::onRequestTimeout(utils::time_point now)
{
    if (m_isProbing && now < m_probeStartedAt + m_options.probeTimeout)
        return false;
    m_isProbing = true;
    m_probeStartedAt = now;
    return true;
}

void connection_reuse_policy::onProbeEnded(bool isAnswered)
{
    if (m_isProbing && isAnswered)
        m_retiredBefore = m_probeStartedAt;
    m_isProbing = false;
}

} // namespace camphorsaddle::routing
