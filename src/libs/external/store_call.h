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

} // namespace camphorsaddle::external
