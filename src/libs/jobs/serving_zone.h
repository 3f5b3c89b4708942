#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace camphorsaddle::jobs {

//! \brief Processors of one worker, thousandths of a core.
struct zone_worker {
    std::string id;
    std::int64_t capacity = 0;
    //! Taken by tasks that serve and suffer much from work that fills.
    std::int64_t sensitive = 0;
};

//! \brief Workers that are kept for sensitive tasks, so that the work that disturbs them has the others.
//!
//! \a fill is the share of a worker that sensitive tasks may take. Workers that hold many already come first, and
//! those of \a present stay as long as they are needed, which keeps the moves few.
std::set<std::string> chooseSensitiveZone(std::vector<zone_worker> workers, const std::set<std::string>& present, double fill);

} // namespace camphorsaddle::jobs
