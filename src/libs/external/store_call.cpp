#include "external/store_call.h"

#include <array>

namespace camphorsaddle::external {

absl::string_view toString(store_call kind)
{
    constexpr std::array<absl::string_view, storeCallCount> names { "read", "list", "write", "erase", "lease", "watch" };
    return names[static_cast<std::size_t>(kind)];
}

} // namespace camphorsaddle::external
