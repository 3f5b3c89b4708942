#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "tasks/coordinator/coordinator_messages.h"

namespace camphorsaddle::tasks {

//! \brief Calls that a daemon has forwarded to the leader and that have no reply yet.
class forwarded_calls {
public:
    //! \brief Numbers the calls from \a firstTicket, which must be higher than the tickets of former processes with the same endpoint.
    void setFirstTicket(std::uint64_t firstTicket);
    //! \brief Records a call and returns the one to send, which has a ticket of its own.
    job_call add(const job_call& call, utils::time_point now);
    //! \brief Removes the call that was sent with \a ticket; nullopt if it is unknown, for example because it was overdue.
    std::optional<job_call> take(std::uint64_t ticket);
    //! \brief Removes the overdue calls and returns them with the time that is left to their callers.
    //!
    //! \a readUntil is the time up to which all messages that had arrived were handled.
    std::vector<job_call> takeOverdue(utils::time_point readUntil);

private:
    struct forwarded_call {
        job_call call;
        utils::time_point sentAt;
    };

    std::map<std::uint64_t, forwarded_call> m_calls;
    std::uint64_t m_nextTicket = 1;
};

} // namespace camphorsaddle::tasks
