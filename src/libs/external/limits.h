#pragma once

#include <limits>

#include "input/bounded_json.h"

//! \brief Bounds of what the platform's services and the workers answer.
namespace camphorsaddle::external::limits {

inline constexpr input::document_limits reply { 64 << 20, 64 };

// Bytes of ids, services, data centres and racks.
inline constexpr input::text_limits name { 1'000 };
inline constexpr input::text_limits url { 2'000 };
inline constexpr input::text_limits key { 10'000, input::text_content::Any };
inline constexpr input::text_limits payload { 16 << 20, input::text_content::Any };
inline constexpr std::size_t rowsPerList = 1'000'000;

// Thousandths of a core, MiB, accelerators.
inline constexpr input::whole_range processors { 0, 100'000'000 };
inline constexpr input::whole_range memory { 0, 1'000'000'000 };
inline constexpr input::whole_range accelerators { 0, 100'000 };
inline constexpr input::whole_range slots { 0, 1'000'000 };
inline constexpr input::whole_range attempt { 0, std::numeric_limits<std::uint32_t>::max() };
// Milliseconds of a year.
inline constexpr input::whole_range duration { 0, 365LL * 86'400'000 };
inline constexpr input::real_range latency { 0, 365.0 * 86'400'000 };
inline constexpr input::real_range load { 0, 1e12 };

} // namespace camphorsaddle::external::limits
