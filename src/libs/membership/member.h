#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace camphorsaddle::membership {

//! \brief A live daemon, as its member key in the store tells.
struct member {
    std::string id;
    std::string dataCentre;
    std::string region;
    //! ZeroMQ endpoint for other daemons.
    std::string peerEndpoint;
    std::string administrationUrl;
    std::string gatewayUrl;
    //! Tells the processes apart that used the same id one after the other.
    std::uint64_t incarnation = 0;
    //! Data centres whose workers this daemon does not reach, sorted.
    std::vector<std::string> unreachableDataCentres {};

    // clang-tidy takes the defaulted comparison for a null pointer constant.
    auto operator<=>(const member&) const = default;
};

//! \brief The members at a revision of the store, sorted by id.
struct member_view {
    std::uint64_t revision = 0;
    std::vector<member> members;

    auto operator<=>(const member_view&) const = default;
};

//! \brief Sorts \a members by id; of several with the same id the greatest incarnation stays.
member_view makeView(std::uint64_t revision, std::vector<member> members);

//! \brief Value of a member key, as JSON.
std::string formatMember(const member& member);

//! \brief Parses the value of the member key \a key; InvalidArgument for a missing or wrong field.
absl::StatusOr<member> parseMember(absl::string_view text, absl::string_view key);

} // namespace camphorsaddle::membership
