#pragma once

#include <vector>

#include "absl/strings/string_view.h"
#include "membership/member.h"

namespace camphorsaddle::membership {

//! \brief What is assigned to a daemon, and where it is served best.
struct shard_location {
    std::string key;
    std::string dataCentre;
    std::string region;

    auto operator<=>(const shard_location&) const = default;
};

//! \brief The member that owns the shard by rendezvous hashing; null when no member can serve it.
//!
//! Members of the shard's region go before all others; the data centre does not matter for the choice among them,
//! so that a region's daemons share its shards evenly. A member of another region counts only if it reaches the workers.
const member* ownerOf(const shard_location& shard, const member_view& view);

//! \brief All members in the order in which they take the shard over.
std::vector<const member*> successorsOf(const shard_location& shard, const member_view& view);

} // namespace camphorsaddle::membership
