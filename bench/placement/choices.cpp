#include <queue>
#include <random>

#include "absl/strings/str_cat.h"
#include "bench/placement/models.h"
#include "placement/placer.h"
#include "placement/worker_health.h"

namespace camphorsaddle::bench {

namespace {

    using placement::task_id;

    constexpr std::size_t shardCount = 28;
    constexpr double startsPerSecond = 90;
    constexpr double meanRunTime = 255;
    constexpr double duration = 1800;
    constexpr double step = 0.2;
    constexpr double failureTime = 0.05;

    model::configuration oneKind()
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
            view.isConfirmed = true;
            view.host.capacity = { 32000, 131072, 0 };
        }
        return workers;
    }

    //! One shard whose first workers fail all that they start.
    class failing_shard {
    public:
        failing_shard(unsigned seed, std::size_t workers, std::size_t failing, bool hasQuarantine)
            : m_generator(seed)
            , m_workers(makeWorkers(workers))
            , m_hasQuarantine(hasQuarantine)
        {
            for (std::size_t index = 0; index < failing; ++index)
                m_failing.insert(absl::StrCat("worker-", index));
        }

        void run()
        {
            std::poisson_distribution<std::uint32_t> arrivals(startsPerSecond / shardCount * step);
            std::uint32_t jobs = 0;
            for (double time = 0; time < duration; time += step) {
                endUntil(time);
                if (const auto count = arrivals(m_generator); count > 0)
                    (void)m_state.apply(placement::job_accepted { absl::StrCat(jobs++), "team", "task", count });
                place(time);
            }
        }

        double starts() const
        {
            return m_starts;
        }

        double wasted() const
        {
            return m_wasted;
        }

    private:
        static utils::time_point at(double time)
        {
            return utils::time_point(utils::milliseconds(static_cast<std::int64_t>(time * 1000)));
        }

        void endUntil(double time)
        {
            for (; !m_ends.empty() && m_ends.top().first <= time; m_ends.pop()) {
                const auto task = m_ends.top().second;
                const auto& record = *m_state.findTask(task);
                const bool isFailed = m_failing.count(record.worker) > 0;
                m_wasted += isFailed ? 1 : 0;
                m_health.recordEnd(record.worker, isFailed, at(time));
                (void)m_state.apply(placement::task_ended { task, record.attempt, isFailed ? placement::attempt_end_cause::WorkerFault : placement::attempt_end_cause::Finished, {} });
            }
        }

        void place(double time)
        {
            for (auto& [name, view] : m_workers) {
                if (m_failing.count(name) == 0 && m_state.countOn(name) > 0)
                    m_health.recordRunning(name);
                if (m_hasQuarantine)
                    view.attemptBound = m_health.attemptBound(name, at(time));
            }
            std::exponential_distribution<double> runTimes(1 / meanRunTime);
            for (const auto& placed : placePending(m_state, m_workers, m_configuration, {}, 200).placed) {
                (void)m_state.apply(placed);
                (void)m_state.apply(placement::task_confirmed { placed.task, placed.attempt });
                ++m_starts;
                m_ends.push({ time + (m_failing.count(placed.worker) > 0 ? failureTime : runTimes(m_generator)), placed.task });
            }
        }

        std::mt19937 m_generator;
        placement::worker_views m_workers;
        bool m_hasQuarantine;
        std::set<std::string> m_failing;
        model::configuration m_configuration = oneKind();
        placement::shard_state m_state;
        placement::worker_health m_health;
        std::priority_queue<std::pair<double, task_id>, std::vector<std::pair<double, task_id>>, std::greater<>> m_ends;
        double m_starts = 0;
        double m_wasted = 0;
    };

} // namespace

double wastedStarts(unsigned seed, bool hasQuarantine)
{
    double starts = 0;
    double wasted = 0;
    // 890 workers are 31 or 32 a shard; 18 of the shards hold one that fails.
    for (std::size_t index = 0; index < shardCount; ++index) {
        failing_shard shard(seed + static_cast<unsigned>(index), index < 22 ? 32 : 31, index < 18 ? 1 : 0, hasQuarantine);
        shard.run();
        starts += shard.starts();
        wasted += shard.wasted();
    }
    return wasted / starts;
}

double examinedWorkers(std::size_t workers)
{
    const auto views = makeWorkers(workers);
    placement::shard_state state;
    const auto half = static_cast<std::uint32_t>(workers * 16);
    (void)state.apply(placement::job_accepted { "first", "team", "task", half });
    for (const auto& placed : placePending(state, views, oneKind(), {}, half).placed)
        (void)state.apply(placed);
    (void)state.apply(placement::job_accepted { "second", "team", "task", 200 });
    const auto round = placePending(state, views, oneKind(), {}, 200);
    return static_cast<double>(round.examined) / static_cast<double>(round.placed.size());
}

} // namespace camphorsaddle::bench
