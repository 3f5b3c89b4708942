#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/placement/simulations.h"
#include "placement/placer.h"

namespace camphorsaddle::bench {

namespace {

    constexpr std::size_t teamCount = 160;
    constexpr std::size_t shardCount = 28;
    constexpr double requestsPerSecond = 90;
    constexpr double meanRunTimeSeconds = 255;
    constexpr double durationSeconds = 1800;
    constexpr double storeDelaySeconds = 0.02;

    struct request {
        double time = 0;
        std::size_t team = 0;
        std::size_t shard = 0;
        double runTime = 0;
    };

    struct workload {
        std::vector<request> requests;
        std::vector<int> quotas;
    };

    workload makeWorkload(unsigned seed)
    {
        std::mt19937 generator(seed);
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= teamCount; ++rank)
            weights.push_back(1.0 / static_cast<double>(rank));
        std::discrete_distribution<std::size_t> teams(weights.begin(), weights.end());
        std::uniform_int_distribution<std::size_t> shards(0, shardCount - 1);
        std::exponential_distribution<double> interarrivalTimes(requestsPerSecond);
        std::exponential_distribution<double> runTimes(1 / meanRunTimeSeconds);
        workload result;
        for (const auto probability : teams.probabilities())
            result.quotas.push_back(std::max(1, static_cast<int>(std::lround(probability * requestsPerSecond * meanRunTimeSeconds))));
        for (double time = interarrivalTimes(generator); time < durationSeconds; time += interarrivalTimes(generator))
            result.requests.push_back({ time, teams(generator), shards(generator), runTimes(generator) });
        return result;
    }

    struct scheduled_end {
        double time = 0;
        std::size_t team = 0;
        std::size_t shard = 0;

        bool operator>(const scheduled_end& other) const
        {
            return time > other.time;
        }
    };

    using scheduled_ends = std::priority_queue<scheduled_end, std::vector<scheduled_end>, std::greater<>>;

} // namespace

// Each start and each end of a task changes one document by compare-and-swap; concurrent changes fail and are repeated.
quota_cost simulateCentralQuotas(unsigned seed)
{
    const auto workload = makeWorkload(seed);
    std::vector<int> used(teamCount);
    scheduled_ends running;
    double writes = 0;
    double starts = 0;
    double documentFreeAt = 0;
    const auto write = [&](double time) {
        // A change that starts while the document is being written fails once and is repeated.
        writes += time < documentFreeAt ? 2 : 1;
        documentFreeAt = std::max(documentFreeAt, time) + storeDelaySeconds / 2;
    };
    for (const auto& request : workload.requests) {
        for (; !running.empty() && running.top().time <= request.time; running.pop()) {
            --used[running.top().team];
            write(running.top().time);
        }
        if (used[request.team] >= workload.quotas[request.team])
            continue;
        ++used[request.team];
        ++starts;
        write(request.time);
        running.push({ request.time + request.runTime, request.team, request.shard });
    }
    return { writes / starts, 0 };
}

// Shards take quota in chunks of half of an equal share, and return what they have free beyond one chunk.
quota_cost simulateChunkedQuotas(unsigned seed)
{
    const auto workload = makeWorkload(seed);
    std::vector<int> availableQuota = workload.quotas;
    std::vector<std::vector<int>> free(teamCount, std::vector<int>(shardCount));
    std::vector<int> used(teamCount);
    scheduled_ends running;
    double writes = 0;
    double starts = 0;
    double wrongRefusals = 0;
    const auto chunkSize = [&](std::size_t team) {
        return std::max(1, workload.quotas[team] / static_cast<int>(2 * shardCount));
    };
    for (const auto& request : workload.requests) {
        for (; !running.empty() && running.top().time <= request.time; running.pop()) {
            const auto& end = running.top();
            --used[end.team];
            auto& shardQuota = ++free[end.team][end.shard];
            if (shardQuota > chunkSize(end.team)) {
                ++writes;
                availableQuota[end.team] += chunkSize(end.team);
                shardQuota -= chunkSize(end.team);
            }
        }
        auto& shardQuota = free[request.team][request.shard];
        if (shardQuota == 0 && availableQuota[request.team] > 0) {
            ++writes;
            shardQuota = std::min(availableQuota[request.team], chunkSize(request.team));
            availableQuota[request.team] -= shardQuota;
        }
        if (shardQuota == 0) {
            wrongRefusals += used[request.team] < workload.quotas[request.team] ? 1 : 0;
            continue;
        }
        --shardQuota;
        ++used[request.team];
        ++starts;
        running.push({ request.time + request.runTime, request.team, request.shard });
    }
    return { writes / starts, wrongRefusals / static_cast<double>(workload.requests.size()) };
}

// The entries of the team's home shard contain its usage, so that the placer enforces the quota without other writes.
quota_cost simulateHomeShardQuotas(unsigned seed)
{
    const auto workload = makeWorkload(seed);
    std::vector<placement::shard_state> shards(shardCount);
    model::configuration configuration;
    configuration.guards.urgentHeadroom = 0;
    configuration.batchKinds["task"].size = { 1, 0, 0 };
    for (std::size_t team = 0; team < teamCount; ++team)
        configuration.teams[absl::StrCat(team)].quota = { workload.quotas[team], 0, 0 };
    placement::worker_views workers;
    workers["worker"].isResponsive = true;
    workers["worker"].host.capacity = { 1000000, 1000000, 0 };
    std::vector<int> used(teamCount);
    std::priority_queue<std::pair<double, std::pair<std::size_t, placement::task_id>>, std::vector<std::pair<double, std::pair<std::size_t, placement::task_id>>>, std::greater<>> running;
    double wrongRefusals = 0;
    std::size_t jobs = 0;
    for (const auto& request : workload.requests) {
        for (; !running.empty() && running.top().first <= request.time; running.pop()) {
            const auto& [team, task] = running.top().second;
            --used[team];
            (void)shards[team % shardCount].apply(placement::task_ended { task, 1, placement::attempt_end_cause::Finished, {} });
        }
        auto& home = shards[request.team % shardCount];
        const auto job = absl::StrCat("job-", jobs++);
        const bool isQuotaFree = used[request.team] < workload.quotas[request.team];
        (void)home.apply(placement::job_accepted { job, absl::StrCat(request.team), "task", 1 });
        const auto round = placePendingTasks(home, workers, configuration, {}, 1);
        if (round.placed.empty()) {
            wrongRefusals += isQuotaFree ? 1 : 0;
            (void)home.apply(placement::job_cancelled { job });
            continue;
        }
        (void)home.apply(round.placed.front());
        ++used[request.team];
        running.push({ request.time + request.runTime, { request.team, round.placed.front().task } });
    }
    return { 0, wrongRefusals / static_cast<double>(workload.requests.size()) };
}

} // namespace camphorsaddle::bench
