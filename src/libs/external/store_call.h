#pragma once

#include <cstddef>

#include "absl/strings/string_view.h"

namespace camphorsaddle::external {

//! \brief Kinds of calls that count against the rate limits of the store.
enum class store_call {
    Read,
    List,
    Write,
    Erase,
    Lease,
    Watch,
};

inline constexpr std::size_t storeCallCount = 6;

absl::string_view toString(store_call kind);

//! \brief Whether the call has the same effect and reply if it is executed twice.
//!
//! A conditional change hasn't: its repetition meets its own effect and is reported as a conflict.
constexpr bool isRepeatable(store_call kind)
{
    return kind != store_call::Write && kind != store_call::Erase;
}

} // namespace camphorsaddle::external
