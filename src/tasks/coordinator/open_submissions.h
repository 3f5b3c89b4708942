#pragma once

#include <cstdint>
#include <map>

#include "utils/clock.h"

namespace camphorsaddle::tasks {

//! \brief Account of the submissions of a daemon's callers that wait for a reply.
class open_submissions {
public:
    //! \a limit is the number of bytes that the specifications of all of them may have.
    explicit open_submissions(std::uint64_t limit);

    //! \brief Adds a submission of \a bytes if there is room for it or no other is open; returns false otherwise.
    //!
    //! It no longer counts after \a end, whether or not it was closed.
    bool open(std::uint64_t ticket, std::uint64_t bytes, utils::time_point now, utils::time_point end);
    void close(std::uint64_t ticket);

private:
    struct entry {
        std::uint64_t bytes = 0;
        utils::time_point end;
    };

    std::uint64_t m_limit;
    std::uint64_t m_openBytes = 0;
    std::map<std::uint64_t, entry> m_entries;
};

} // namespace camphorsaddle::tasks
