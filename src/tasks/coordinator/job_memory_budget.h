#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "utils/clock.h"

namespace camphorsaddle::tasks {

//! \brief Decides how much memory all jobs together may take, as the leader knows it.
//!
//! Each daemon may lead next and has to hold them all, so that the smallest one counts.
class job_memory_budget {
public:
    explicit job_memory_budget(std::uint64_t ownLimit);

    //! \brief Records the limit of a daemon that follows; 0 if an older daemon doesn't tell it.
    void noteFollower(const std::string& endpoint, std::uint64_t limit, utils::time_point now);
    //! \brief Bytes that all jobs together may take.
    std::uint64_t limit(utils::time_point now) const;
    //! \brief Whether a job of \a bytes may be accepted beside others that take \a held bytes.
    bool admits(std::uint64_t bytes, std::uint64_t held, utils::time_point now) const;
    //! \brief Bytes that each daemon may store when it reaches no leader, so that all of them together stay within the limit.
    std::uint64_t allowanceWithoutLeader(std::uint64_t held, utils::time_point now) const;

private:
    std::size_t followerCount(utils::time_point now) const;

    std::uint64_t m_ownLimit;
    //! Limit of each daemon that follows, and when it was heard last.
    std::map<std::string, std::pair<std::uint64_t, utils::time_point>> m_followers;
};

} // namespace camphorsaddle::tasks
