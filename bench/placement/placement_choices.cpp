#include <queue>
#include <random>

#include "absl/strings/str_cat.h"
#include "bench/placement/simulations.h"
#include "placement/placer.h"
#include "placement/worker_health.h"

namespace camphorsaddle::bench {

namespace {

    using placement::task_id;

    constexpr std::size_t shardCount = 28;
    constexpr double startsPerSecond = 90;
    constexpr double meanRunTimeSeconds = 255;
    constexpr double durationSeconds = 1800;
    constexpr double stepSeconds = 0.2;
    constexpr double failureDelaySeconds = 0.05;

    model::configuration makeConfiguration()
    {
        model::configuration configuration;
        configuration.guards.urgentHeadroom = 0;
        configuration.batchKinds["task"].size = { 1000, 4096, 0 };
        configuration.teams["team"].quota = { 1000000000, 1000000000, 0 };
        return configuration;
    }

    placement::worker_views makeWorkers(std::size_t count)
    {
        placement::worker_views workers;
        for (std::size_t index = 0; index < count; ++index) {
            auto& view = workers[absl::StrCat("worker-", index)];
            view.isResponsive = true;
            view.host.capacity = { 32000, 131072, 0 };
        }
        return workers;
    }

    //! Simulates one shard whose first workers fail all attempts.
    class failing_shard {
    public:
        failing_shard(unsigned seed, std::size_t workers, std::size_t failingWorkers, bool hasQuarantine)
            : m_generator(seed)
            , m_workers(makeWorkers(workers))
            , m_hasQuarantine(hasQuarantine)
        {
            for (std::size_t index = 0; index < failingWorkers; ++index)
                m_failingWorkers.insert(absl::StrCat("worker-", index));
        }

        void run()
        {
            std::poisson_distribution<std::uint32_t> arrivals(startsPerSecond / shardCount * stepSeconds);
            std::uint32_t jobs = 0;
            for (double time = 0; time < durationSeconds; time += stepSeconds) {
                endAttemptsUntil(time);
                if (const auto count = arrivals(m_generator); count > 0)
                    (void)m_state.apply(placement::job_accepted { absl::StrCat(jobs++), "team", "task", count });
                place(time);
            }
        }

        double starts() const
        {
            return m_starts;
        }

        double wastedStarts() const
        {
            return m_wastedStarts;
        }

    private:
        static utils::time_point toTimePoint(double time)
        {
            return utils::time_point(utils::milliseconds(static_cast<std::int64_t>(time * 1000)));
        }

        void endAttemptsUntil(double time)
        {
            for (; !m_ends.empty() && m_ends.top().first <= time; m_ends.pop()) {
                const auto task = m_ends.top().second;
                const auto& record = *m_state.findTask(task);
                const bool isFailed = m_failingWorkers.count(record.worker) > 0;
                m_wastedStarts += isFailed ? 1 : 0;
                m_workerHealth.recordAttemptEnd(record.worker, isFailed, toTimePoint(time));
                (void)m_state.apply(placement::task_ended { task, record.attempt, isFailed ? placement::attempt_end_cause::WorkerFault : placement::attempt_end_cause::Finished, {} });
            }
        }

        void place(double time)
        {
            for (auto& [name, view] : m_workers) {
                if (m_failingWorkers.count(name) == 0 && m_state.taskCountOnWorker(name) > 0)
                    m_workerHealth.recordRunningAttempt(name);
                if (m_hasQuarantine)
                    view.maximumAttempts = m_workerHealth.maximumAttempts(name, toTimePoint(time));
            }
            std::exponential_distribution<double> runTimes(1 / meanRunTimeSeconds);
            for (const auto& placed : placePendingTasks(m_state, m_workers, m_configuration, {}, 200).placed) {
                (void)m_state.apply(placed);
                (void)m_state.apply(placement::task_confirmed { placed.task, placed.attempt });
                ++m_starts;
                m_ends.push({ time + (m_failingWorkers.count(placed.worker) > 0 ? failureDelaySeconds : runTimes(m_generator)), placed.task });
            }
        }

        std::mt19937 m_generator;
        placement::worker_views m_workers;
        bool m_hasQuarantine;
        std::set<std::string> m_failingWorkers;
        model::configuration m_configuration = makeConfiguration();
        placement::shard_state m_state;
        placement::worker_health m_workerHealth;
        std::priority_queue<std::pair<double, task_id>, std::vector<std::pair<double, task_id>>, std::greater<>> m_ends;
        double m_starts = 0;
        double m_wastedStarts = 0;
    };

} // namespace

double wastedStartShare(unsigned seed, bool hasQuarantine)
{
    double starts = 0;
    double wastedStarts = 0;
    // With 890 workers each shard holds 31 or 32; 18 of the shards hold one that fails all attempts.
    for (std::size_t index = 0; index < shardCount; ++index) {
        failing_shard shard(seed + static_cast<unsigned>(index), index < 22 ? 32 : 31, index < 18 ? 1 : 0, hasQuarantine);
        shard.run();
        starts += shard.starts();
        wastedStarts += shard.wastedStarts();
    }
    return wastedStarts / starts;
}

double examinedWorkersPerDecision(std::size_t workers)
{
    const auto views = makeWorkers(workers);
    placement::shard_state state;
    const auto firstTasks = static_cast<std::uint32_t>(workers * 16);
    (void)state.apply(placement::job_accepted { "first", "team", "task", firstTasks });
    for (const auto& placed : placePendingTasks(state, views, makeConfiguration(), {}, firstTasks).placed)
        (void)state.apply(placed);
    (void)state.apply(placement::job_accepted { "second", "team", "task", 200 });
    const auto round = placePendingTasks(state, views, makeConfiguration(), {}, 200);
    return static_cast<double>(round.examinedWorkerCount) / static_cast<double>(round.placed.size());
}

} // namespace camphorsaddle::bench
