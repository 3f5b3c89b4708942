#pragma once

#include <vector>

#include "absl/strings/string_view.h"
#include "membership/member.h"

namespace camphorsaddle::membership {

//! \brief A shard that is assigned to a daemon, with the location of its workers.
struct shard_location {
    std::string key;
    std::string dataCentre;
    std::string region;

    auto operator<=>(const shard_location&) const = default;
};

//! \brief Returns the member that owns the shard by rendezvous hashing, or null if no member can serve it.
//!
//! Members in the region of the shard take precedence over all others. The data centre is ignored in the choice among them,
//! so that the daemons of a region share its shards evenly. A member of another region is considered only if it can reach
//! the workers of the shard's data centre.
const member* ownerOf(const shard_location& shard, const member_view& view);

//! \brief Returns all members that can serve the shard, in the order in which they take it over; the first one is the owner.
std::vector<const member*> successorsOf(const shard_location& shard, const member_view& view);

} // namespace camphorsaddle::membership
