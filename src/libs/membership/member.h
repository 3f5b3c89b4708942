#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace camphorsaddle::membership {

//! \brief A live daemon, as described by its member key in the store.
struct member {
    std::string id;
    std::string dataCentre;
    std::string region;
    //! ZeroMQ endpoint that other daemons connect to.
    std::string peerEndpoint;
    std::string administrationUrl;
    std::string gatewayUrl;
    //! Distinguishes successive processes with the same id; a later process has a higher number.
    std::uint64_t incarnation = 0;
    //! Data centres whose workers this daemon cannot reach, sorted.
    std::vector<std::string> unreachableDataCentres {};

    // clang-tidy mistakes the defaulted comparison for a null pointer constant.
    auto operator<=>(const member&) const = default;
};

//! \brief The members at one revision of the store, sorted by id.
struct member_view {
    std::uint64_t revision = 0;
    std::vector<member> members;

    auto operator<=>(const member_view&) const = default;
};

//! \brief Creates a view with \a members sorted by id; of several members with the same id it keeps the highest incarnation.
member_view makeView(std::uint64_t revision, std::vector<member> members);

//! \brief Serializes a member as JSON, for its member key.
std::string formatMember(const member& member);

//! \brief Parses the value of the member key \a key. Errors: InvalidArgument for a missing or invalid field.
absl::StatusOr<member> parseMember(absl::string_view text, absl::string_view key);

} // namespace camphorsaddle::membership
