#pragma once

#include "utils/clock.h"

namespace camphorsaddle::placement {

//! \brief Durations that determine how long workers may run tasks without contact to the shard's owner.
struct lease_terms {
    //! How long a worker may run a task after the owner granted or renewed its lease.
    utils::milliseconds leaseDuration { 0 };
    //! Time between two renewals at the same worker.
    utils::milliseconds renewalInterval { 0 };
    //! How long one journal entry permits the owner to grant and renew leases.
    utils::milliseconds renewalHorizon { 0 };
    //! Added to lease durations, because the clocks of owner and worker run at different speeds.
    utils::milliseconds clockDriftAllowance { 0 };
    //! A command reaches its worker within this time or never.
    utils::milliseconds callTimeout { 0 };

    auto operator<=>(const lease_terms&) const = default;

    //! \brief Longest time from the journal entry that permits renewals to the end of the last lease granted under it.
    utils::milliseconds leaseEndBound() const
    {
        return renewalHorizon + callTimeout + leaseDuration + clockDriftAllowance;
    }
};

//! \brief The period in which the owner may grant and renew leases, as permitted by its committed journal entries.
class renewal_window {
public:
    //! \brief Whether another journal entry should be requested, because half of the renewal horizon has passed.
    bool needsExtension(const lease_terms& terms, utils::time_point now) const;

    //! \brief Stores when the entry was passed to the journal; the extension counts from then, before the commit.
    void requestExtension(utils::time_point now);
    //! \brief Ends the pending request and extends the window if the journal committed the entry.
    void completeExtension(const lease_terms& terms, bool isCommitted);

    //! \brief Time before which leases may be granted; the first value of the clock when none may be granted.
    utils::time_point end() const
    {
        return m_end;
    }

    //! \brief Whether leases may be granted and renewed at \a now.
    bool isOpen(utils::time_point now) const
    {
        return now < m_end;
    }

private:
    utils::time_point m_end;
    utils::time_point m_requestTime;
    bool m_isRequestPending = false;
};

} // namespace camphorsaddle::placement
