#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job_record.h"

namespace camphorsaddle::tasks {

//! \brief Tells whether the leaders before a term have certainly ended, so that none of them sends orders.
//!
//! An earlier process of a daemon has ended when a later one runs, and a daemon that has replied to the notice of this term leads
//! no earlier one.
class former_leaders {
public:
    //! \a leaders are those whose runs the leader of \a own.term may not know, in the order of their terms.
    former_leaders(std::vector<jobs::leader_record> leaders, const jobs::leader_record& own);

    //! \brief Records the reply of the daemon at \a endpoint to the notice of \a term.
    void noteFollower(const std::string& endpoint, std::uint64_t term);
    //! \brief Whether all former leaders have ended; false if one of them isn't known.
    bool haveEnded() const;
    //! \brief The leaders that are not known to have ended.
    const std::vector<jobs::leader_record>& unproven() const;

private:
    std::uint64_t m_ownTerm;
    //! The leader of the term before is known, and so are those before it.
    bool m_isComplete;
    std::vector<jobs::leader_record> m_unproven;
};

} // namespace camphorsaddle::tasks
