#pragma once

#include <compare>
#include <cstdint>

namespace camphorsaddle::model {

//! \brief Resource amounts, for example the capacity of a worker or the request of a task.
struct resources {
    //! Millicores.
    std::int64_t processors = 0;
    //! MiB.
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;

    auto operator<=>(const resources&) const = default;

    bool fitsIn(const resources& free) const
    {
        return processors <= free.processors && memory <= free.memory && accelerators <= free.accelerators;
    }

    resources operator+(const resources& other) const
    {
        return { processors + other.processors, memory + other.memory, accelerators + other.accelerators };
    }

    resources operator-(const resources& other) const
    {
        return { processors - other.processors, memory - other.memory, accelerators - other.accelerators };
    }
};

} // namespace camphorsaddle::model
