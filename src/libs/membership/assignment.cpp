#include "membership/assignment.h"

#include <algorithm>
#include <tuple>

#include "utils/hashing.h"

namespace camphorsaddle::membership {

namespace {

    struct candidate {
        bool isForeign = false;
        std::uint64_t weight = 0;
        const member* daemon = nullptr;
    };

    //! A daemon of another region serves a shard only where it reaches the workers.
    bool canServe(const shard_location& shard, const member& daemon)
    {
        return daemon.region == shard.region || !std::binary_search(daemon.unreachable.begin(), daemon.unreachable.end(), shard.dataCentre);
    }

    bool goesBefore(const candidate& left, const candidate& right)
    {
        return std::tie(left.isForeign, right.weight, left.daemon->id) < std::tie(right.isForeign, left.weight, right.daemon->id);
    }

    candidate rate(const shard_location& shard, const member& daemon)
    {
        const std::uint64_t seed = utils::stableHash(shard.key);
        return { .isForeign = daemon.region != shard.region, .weight = utils::stableHash(daemon.id, seed), .daemon = &daemon };
    }

} // namespace

const member* ownerOf(const shard_location& shard, const member_view& view)
{
    candidate best;
    for (const auto& daemon : view.members) {
        if (!canServe(shard, daemon))
            continue;
        const candidate next = rate(shard, daemon);
        if (!best.daemon || goesBefore(next, best))
            best = next;
    }
    return best.daemon;
}

std::vector<const member*> successorsOf(const shard_location& shard, const member_view& view)
{
    std::vector<candidate> candidates;
    candidates.reserve(view.members.size());
    for (const auto& daemon : view.members) {
        if (canServe(shard, daemon))
            candidates.push_back(rate(shard, daemon));
    }
    std::sort(candidates.begin(), candidates.end(), goesBefore);
    std::vector<const member*> result;
    result.reserve(candidates.size());
    for (const auto& item : candidates)
        result.push_back(item.daemon);
    return result;
}

} // namespace camphorsaddle::membership
