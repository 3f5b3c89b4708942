#include <algorithm>
#include <deque>
#include <functional>
#include <random>

#include "absl/strings/str_cat.h"
#include "bench/placement/models.h"
#include "placement/shard_coordinator.h"

namespace camphorsaddle::bench {

namespace {

    using namespace placement;
    using utils::milliseconds;

    constexpr std::size_t shardCount = 28;
    //! 28 shards share 150 writes a second.
    constexpr milliseconds commitInterval { 190 };
    constexpr milliseconds driveInterval { 50 };
    constexpr milliseconds workerDelay { 20 };
    constexpr milliseconds checkpointDelay { 500 };
    //! The store's lease of a daemon that is gone, before its shards are taken over.
    constexpr milliseconds takeoverDelay { 4000 };
    constexpr milliseconds duration { 60000 };
    constexpr milliseconds ownerGone { 30000 };
    constexpr double urgentPerSecond = 9;
    constexpr double plainPerSecond = 81;

    //! One shard with workers that answer, its owner's journal and its submissions.
    class urgent_shard {
    public:
        urgent_shard(unsigned seed, std::size_t workers, bool losesOwner)
            : m_generator(seed)
            , m_losesOwner(losesOwner)
        {
            m_configuration->guards.urgentHeadroom = 0.05;
            m_configuration->batchKinds["plain"].size = { 1000, 4096, 0 };
            m_configuration->batchKinds["urgent"] = { 90, { 2000, 8192, 0 } };
            m_configuration->teams["team"].quota = { 1000000000, 1000000000, 0 };
            for (std::size_t index = 0; index < workers; ++index) {
                model::host host;
                host.id = absl::StrCat("worker-", index);
                host.url = host.id;
                host.capacity = { 32000, 131072, 0 };
                m_hosts.push_back(host);
            }
            m_waiting.push_back(job_accepted { "fill", "team", "plain", static_cast<std::uint32_t>(workers * 40) });
            takeOver();
        }

        double run()
        {
            std::poisson_distribution<std::uint32_t> urgent(urgentPerSecond / shardCount * 0.05);
            std::poisson_distribution<std::uint32_t> plain(plainPerSecond / shardCount * 0.05);
            for (m_now = utils::time_point(milliseconds(1)); m_now < utils::time_point(duration); m_now += driveInterval) {
                // The fleet is given time to fill.
                if (m_now > utils::time_point(milliseconds(20000)) && m_now < utils::time_point(duration - milliseconds(8000)))
                    submit("urgent", urgent(m_generator));
                submit("plain", plain(m_generator));
                runEvents();
                changeOwner();
                if (m_isAlive)
                    drive();
            }
            return longest();
        }

    private:
        void submit(const std::string& kind, std::uint32_t tasks)
        {
            if (tasks == 0)
                return;
            const auto job = absl::StrCat(kind, "-", m_jobs++);
            m_waiting.push_back(job_accepted { job, "team", kind, tasks });
            if (kind == "urgent")
                m_submitted[job] = m_now;
        }

        void takeOver()
        {
            m_coordinator = std::make_unique<shard_coordinator>("shard", lease_terms { milliseconds(20000), milliseconds(5000), milliseconds(60000), milliseconds(250), milliseconds(2000) });
            m_coordinator->setConfiguration(m_configuration);
            m_coordinator->setWorkers(m_hosts);
            for (const auto& change : m_log)
                (void)m_coordinator->apply(change);
            m_coordinator->takeOver(++m_epoch, m_now);
            m_isAlive = true;
        }

        void changeOwner()
        {
            if (!m_losesOwner)
                return;
            if (m_isAlive && m_epoch == 1 && m_now >= utils::time_point(ownerGone)) {
                m_isAlive = false;
                m_events.clear();
                // Submissions that were not answered are repeated to the next owner.
                m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), [](const batch_entry& change) { return !std::holds_alternative<job_accepted>(change); }), m_waiting.end());
            }
            if (!m_isAlive && m_now >= utils::time_point(ownerGone + takeoverDelay))
                takeOver();
        }

        void drive()
        {
            m_coordinator->drive(m_now, true);
            carryOut();
            if (m_now < m_nextCommit)
                return;
            m_nextCommit = m_now + commitInterval;
            for (auto& change : std::exchange(m_waiting, {})) {
                m_log.push_back(change);
                (void)m_coordinator->apply(change);
                m_coordinator->onAppended(change, true, m_now);
                if (const auto* confirmed = std::get_if<task_confirmed>(&change))
                    noteStart(confirmed->task);
            }
            carryOut();
        }

        void noteStart(const task_id& task)
        {
            const auto job = m_submitted.find(task.job);
            if (job == m_submitted.end() || !m_started.insert(task).second)
                return;
            m_longest = std::max(m_longest, std::chrono::duration<double>(m_now - job->second).count());
        }

        double longest() const
        {
            double result = m_longest;
            for (const auto& [job, time] : m_submitted) {
                const auto* known = m_coordinator->state().findJob(job);
                const auto tasks = known == nullptr ? 1 : known->tasks.size();
                for (std::uint32_t index = 0; index < tasks; ++index) {
                    if (m_started.count({ job, index }) == 0)
                        result = std::max(result, std::chrono::duration<double>(m_now - time).count());
                }
            }
            return result;
        }

        void later(milliseconds delay, std::function<void()> event)
        {
            m_events.emplace(m_now + delay, std::move(event));
        }

        void runEvents()
        {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = m_events.extract(m_events.begin()).mapped();
                event();
                carryOut();
            }
        }

        void carryOut()
        {
            for (auto commands = m_coordinator->takeCommands(); !commands.empty(); commands = m_coordinator->takeCommands()) {
                for (auto& one : commands)
                    std::visit([this](const auto& kind) { carryOut(kind); }, one);
            }
        }

        void carryOut(const append_entry& command)
        {
            m_waiting.push_back(command.change);
        }

        void carryOut(const start_attempt& command)
        {
            m_held[command.placed.worker].insert({ formatTask(command.placed.task), command.placed.attempt });
            later(workerDelay, [this, placed = command.placed] { m_coordinator->onStarted(placed, start_outcome::Confirmed, m_now); });
        }

        void report(const std::string& worker)
        {
            later(workerDelay, [this, worker] {
                std::vector<attempt_status> held;
                for (const auto& name : m_held[worker])
                    held.push_back({ name, m_epoch, attempt_phase::Running, {}, {} });
                m_coordinator->onReport(worker, held, m_now);
            });
        }

        void carryOut(const read_inventory& command)
        {
            report(command.worker);
        }

        void carryOut(const renew_leases& command)
        {
            report(command.worker);
        }

        void carryOut(const take_checkpoint& command)
        {
            later(checkpointDelay, [this, command] { m_coordinator->onCheckpoint(command.task, command.attempt, "checkpoint"); });
        }

        void carryOut(const stop_attempt& command)
        {
            m_held[command.worker].erase(command.name);
            if (command.task.has_value())
                later(workerDelay, [this, command] { m_coordinator->onStopped(*command.task, command.name.attempt, stop_outcome::Stopped, m_now); });
        }

        void carryOut(const answer_home&)
        {
        }

        std::mt19937 m_generator;
        bool m_losesOwner;
        std::shared_ptr<model::configuration> m_configuration = std::make_shared<model::configuration>();
        std::vector<model::host> m_hosts;
        std::unique_ptr<shard_coordinator> m_coordinator;
        std::vector<batch_entry> m_log;
        std::vector<batch_entry> m_waiting;
        std::multimap<utils::time_point, std::function<void()>> m_events;
        std::map<std::string, std::set<attempt_name>> m_held;
        std::map<std::string, utils::time_point> m_submitted;
        std::set<task_id> m_started;
        utils::time_point m_now;
        utils::time_point m_nextCommit;
        std::uint64_t m_epoch = 0;
        std::uint32_t m_jobs = 0;
        bool m_isAlive = false;
        double m_longest = 0;
    };

} // namespace

double longestUrgentStart(unsigned seed)
{
    double longest = 0;
    for (std::size_t index = 0; index < shardCount; ++index) {
        urgent_shard shard(seed + static_cast<unsigned>(index), index < 22 ? 32 : 31, index == 0);
        longest = std::max(longest, shard.run());
    }
    return longest;
}

} // namespace camphorsaddle::bench
