#pragma once

#include "utils/clock.h"

namespace camphorsaddle::placement {

//! \brief Terms of the leases under which workers run tasks.
struct lease_terms {
    utils::milliseconds lease { 0 };
    utils::milliseconds interval { 0 };
    //! How far ahead one journal entry allows renewals.
    utils::milliseconds horizon { 0 };
    utils::milliseconds clockDriftAllowance { 0 };
    //! A command reaches its worker within this time or never.
    utils::milliseconds callTimeout { 0 };

    auto operator<=>(const lease_terms&) const = default;

    //! \brief Longest time from the journal's permission to the end of the last lease granted under it.
    utils::milliseconds bound() const
    {
        return horizon + callTimeout + lease + clockDriftAllowance;
    }
};

//! \brief The time until which an owner may start and renew, as its journal entries permit.
class renewal_window {
public:
    //! \brief Whether the journal should be asked for more time: half of the horizon is used up.
    bool needsExtension(const lease_terms& terms, utils::time_point now) const;

    //! \brief Remembers when the entry was handed to the journal, which is before it can be committed.
    void request(utils::time_point now);
    //! \brief Takes the answer of the journal.
    void settle(const lease_terms& terms, bool isCommitted);

    //! \brief Last time at which a lease may be granted; the first value of the clock when none may.
    utils::time_point end() const
    {
        return m_end;
    }

    bool permits(utils::time_point now) const
    {
        return now < m_end;
    }

private:
    utils::time_point m_end;
    utils::time_point m_requested;
    bool m_isRequested = false;
};

} // namespace camphorsaddle::placement
