#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/placement/models.h"
#include "placement/placer.h"

namespace camphorsaddle::bench {

namespace {

    constexpr std::size_t teamCount = 160;
    constexpr std::size_t shardCount = 28;
    constexpr double requestsPerSecond = 90;
    constexpr double meanRunTime = 255;
    constexpr double duration = 1800;
    constexpr double storeDelay = 0.02;

    struct request {
        double time = 0;
        std::size_t team = 0;
        std::size_t shard = 0;
        double runTime = 0;
    };

    struct load {
        std::vector<request> requests;
        std::vector<int> quotas;
    };

    load makeLoad(unsigned seed)
    {
        std::mt19937 generator(seed);
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= teamCount; ++rank)
            weights.push_back(1.0 / static_cast<double>(rank));
        std::discrete_distribution<std::size_t> teams(weights.begin(), weights.end());
        std::uniform_int_distribution<std::size_t> shards(0, shardCount - 1);
        std::exponential_distribution<double> pauses(requestsPerSecond);
        std::exponential_distribution<double> runTimes(1 / meanRunTime);
        load result;
        for (const auto probability : teams.probabilities())
            result.quotas.push_back(std::max(1, static_cast<int>(std::lround(probability * requestsPerSecond * meanRunTime))));
        for (double time = pauses(generator); time < duration; time += pauses(generator))
            result.requests.push_back({ time, teams(generator), shards(generator), runTimes(generator) });
        return result;
    }

    struct ending {
        double time = 0;
        std::size_t team = 0;
        std::size_t shard = 0;

        bool operator>(const ending& other) const
        {
            return time > other.time;
        }
    };

    using endings = std::priority_queue<ending, std::vector<ending>, std::greater<>>;

} // namespace

// Each admission and each release changes one document by compare-and-swap; a change under way makes others repeat.
quota_cost countCentrally(unsigned seed)
{
    const auto demand = makeLoad(seed);
    std::vector<int> used(teamCount);
    endings running;
    double writes = 0;
    double starts = 0;
    double freeAt = 0;
    const auto write = [&](double time) {
        // All that began while the document was being written fail once and begin anew.
        writes += time < freeAt ? 2 : 1;
        freeAt = std::max(freeAt, time) + storeDelay / 2;
    };
    for (const auto& one : demand.requests) {
        for (; !running.empty() && running.top().time <= one.time; running.pop()) {
            --used[running.top().team];
            write(running.top().time);
        }
        if (used[one.team] >= demand.quotas[one.team])
            continue;
        ++used[one.team];
        ++starts;
        write(one.time);
        running.push({ one.time + one.runTime, one.team, one.shard });
    }
    return { writes / starts, 0 };
}

// Shards take quota in chunks of a half share and give back what is free beyond one chunk.
quota_cost countInChunks(unsigned seed)
{
    const auto demand = makeLoad(seed);
    std::vector<int> pool = demand.quotas;
    std::vector<std::vector<int>> free(teamCount, std::vector<int>(shardCount));
    std::vector<int> used(teamCount);
    endings running;
    double writes = 0;
    double starts = 0;
    double wrong = 0;
    const auto chunkOf = [&](std::size_t team) {
        return std::max(1, demand.quotas[team] / static_cast<int>(2 * shardCount));
    };
    for (const auto& one : demand.requests) {
        for (; !running.empty() && running.top().time <= one.time; running.pop()) {
            const auto& end = running.top();
            --used[end.team];
            auto& held = ++free[end.team][end.shard];
            if (held > chunkOf(end.team)) {
                ++writes;
                pool[end.team] += chunkOf(end.team);
                held -= chunkOf(end.team);
            }
        }
        auto& held = free[one.team][one.shard];
        if (held == 0 && pool[one.team] > 0) {
            ++writes;
            held = std::min(pool[one.team], chunkOf(one.team));
            pool[one.team] -= held;
        }
        if (held == 0) {
            wrong += used[one.team] < demand.quotas[one.team] ? 1 : 0;
            continue;
        }
        --held;
        ++used[one.team];
        ++starts;
        running.push({ one.time + one.runTime, one.team, one.shard });
    }
    return { writes / starts, wrong / static_cast<double>(demand.requests.size()) };
}

// The shard's own entries hold the count; the placer decides.
quota_cost countAtHomes(unsigned seed)
{
    const auto demand = makeLoad(seed);
    std::vector<placement::shard_state> shards(shardCount);
    model::configuration configuration;
    configuration.guards.urgentHeadroom = 0;
    configuration.batchKinds["task"].size = { 1, 0, 0 };
    for (std::size_t team = 0; team < teamCount; ++team)
        configuration.teams[absl::StrCat(team)].quota = { demand.quotas[team], 0, 0 };
    placement::worker_views workers;
    workers["worker"].isConfirmed = true;
    workers["worker"].host.capacity = { 1000000, 1000000, 0 };
    std::vector<int> used(teamCount);
    std::priority_queue<std::pair<double, std::pair<std::size_t, placement::task_id>>, std::vector<std::pair<double, std::pair<std::size_t, placement::task_id>>>, std::greater<>> running;
    double wrong = 0;
    std::size_t jobs = 0;
    for (const auto& one : demand.requests) {
        for (; !running.empty() && running.top().first <= one.time; running.pop()) {
            const auto& [team, task] = running.top().second;
            --used[team];
            (void)shards[team % shardCount].apply(placement::task_ended { task, 1, placement::attempt_end_cause::Finished, {} });
        }
        auto& home = shards[one.team % shardCount];
        const auto job = absl::StrCat("job-", jobs++);
        const bool isFree = used[one.team] < demand.quotas[one.team];
        (void)home.apply(placement::job_accepted { job, absl::StrCat(one.team), "task", 1 });
        const auto round = placePending(home, workers, configuration, {}, 1);
        if (round.placed.empty()) {
            wrong += isFree ? 1 : 0;
            (void)home.apply(placement::job_cancelled { job });
            continue;
        }
        (void)home.apply(round.placed.front());
        ++used[one.team];
        running.push({ one.time + one.runTime, { one.team, round.placed.front().task } });
    }
    return { 0, wrong / static_cast<double>(demand.requests.size()) };
}

} // namespace camphorsaddle::bench
