#include "placement/lease_renewal.h"

namespace camphorsaddle::placement {

bool renewal_window::needsExtension(const lease_terms& terms, utils::time_point now) const
{
    return !m_isRequestPending && now + terms.renewalHorizon / 2 >= m_end;
}

void renewal_window::requestExtension(utils::time_point now)
{
    m_requestTime = now;
    m_isRequestPending = true;
}

void renewal_window::completeExtension(const lease_terms& terms, bool isCommitted)
{
    m_isRequestPending = false;
    if (isCommitted)
        m_end = m_requestTime + terms.renewalHorizon;
}

} // namespace camphorsaddle::placement
