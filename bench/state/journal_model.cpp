#include "bench/state/journal_model.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "tasks/scheduler/batch_codec.h"
#include "utils/metrics.h"

namespace camphorsaddle::bench {

namespace {

    constexpr utils::milliseconds step { 10 };
    constexpr utils::seconds openLimit { 60 };

    placement::task_id taskOf(std::uint64_t number)
    {
        return { absl::StrCat("team-", number % 160, "-job-", number), static_cast<std::uint32_t>(number % 40) };
    }

    placement::task_placed placed(std::uint64_t number)
    {
        placement::task_placed result;
        result.task = taskOf(number);
        result.attempt = 1;
        result.worker = absl::StrCat("worker-", number % 1000);
        result.size = { 4000, 16'000'000'000, 1 };
        return result;
    }

} // namespace

std::size_t model_shard::taskBytes()
{
    placement::shard_state state;
    placement::job_record job;
    job.job = taskOf(123456).job;
    job.team = "team-16";
    job.kind = "pitch_review";
    constexpr std::size_t count = 40;
    job.tasks.resize(count);
    for (std::size_t index = 0; index < count; ++index) {
        job.tasks[index].attempt = 1;
        job.tasks[index].worker = absl::StrCat("worker-", 900 + index);
        job.tasks[index].size = { 4000, 16'000'000'000, 1 };
        job.tasks[index].checkpoint = absl::StrCat("checkpoint-", index);
    }
    state.restore(std::move(job));
    return tasks::encodeSnapshot(state).size() / count;
}

void model_shard::restore(absl::string_view snapshot)
{
    tasks = snapshot.size() / taskBytes();
    entries = 0;
}

void model_shard::apply(std::uint64_t, absl::string_view entry)
{
    ++entries;
    const auto change = tasks::decodeEntry(entry);
    if (!change.ok())
        return;
    if (std::holds_alternative<placement::task_placed>(*change))
        ++tasks;
    else if (std::holds_alternative<placement::task_ended>(*change))
        tasks -= std::min<std::size_t>(tasks, 1);
}

std::string model_shard::snapshot()
{
    return std::string(tasks * taskBytes(), 'x');
}

struct journal_model::process {
    process(standins::virtual_clock& clock, standins::fake_database& database, unsigned seed, double rate)
        : store(clock, database, seed)
        , guard(store, clock, metrics, { .seed = seed })
        , budget(rate, 10)
    {
    }

    standins::fake_store store;
    utils::metric_registry metrics;
    external::guarded_store guard;
    journal::write_budget budget;
};

struct journal_model::owned_shard {
    model_shard state;
    std::unique_ptr<journal::log> log;
    std::size_t replayed = 0;
};

journal_model::journal_model(journal_model_settings settings)
    : m_settings(settings)
{
    for (std::size_t index = 0; index < settings.daemons; ++index)
        addProcess();
    for (std::size_t shard = 0; shard < settings.shards; ++shard)
        m_shards.push_back(makeOwner(*m_processes[shard % settings.daemons], shard));
    m_clock.runFor(utils::seconds(5));
    // The first tasks come faster than the load, and are paced by the budget.
    for (std::size_t index = 0; index < settings.tasksPerShard; ++index) {
        for (auto& shard : m_shards)
            shard->log->append(tasks::encodeEntry(placed(m_started++)), [](const absl::Status&) {});
    }
    m_clock.runFor(utils::seconds(30));
}

journal_model::~journal_model() = default;

journal_model::process& journal_model::addProcess()
{
    const auto seed = static_cast<unsigned>(m_settings.seed + m_processes.size());
    m_processes.push_back(std::make_unique<process>(m_clock, m_database, seed, m_settings.writeBudget / static_cast<double>(m_settings.daemons)));
    return *m_processes.back();
}

std::unique_ptr<journal_model::owned_shard> journal_model::makeOwner(process& on, std::size_t shard)
{
    auto owner = std::make_unique<owned_shard>();
    journal::options options;
    options.name = absl::StrCat("batch-", shard);
    options.writer = absl::StrCat("daemon-", ++m_ownerCount);
    options.ring = m_settings.ring;
    owner->log = std::make_unique<journal::log>(on.guard, m_clock, on.budget, options, owner->state);
    owner->log->open(1, [raw = owner.get()](const absl::StatusOr<std::uint64_t>&) { raw->replayed = raw->state.entries; });
    return owner;
}

void journal_model::load()
{
    m_due += m_settings.startsPerSecond * std::chrono::duration<double>(step).count();
    for (; m_due >= 1; m_due -= 1) {
        auto& log = *m_shards[m_started % m_shards.size()]->log;
        const auto start = placed(m_started);
        const auto ignore = [](const absl::Status&) {
        };
        log.append(tasks::encodeEntry(start), ignore);
        log.append(tasks::encodeEntry(placement::task_confirmed { start.task, start.attempt }), ignore);
        log.append(tasks::encodeEntry(placement::task_ended { taskOf(m_started - m_settings.tasksPerShard), 1, placement::attempt_end_cause::Finished, {} }), ignore);
        ++m_started;
    }
}

void journal_model::run(utils::seconds duration)
{
    for (utils::milliseconds passed { 0 }; passed < duration; passed += step) {
        load();
        m_clock.runFor(step);
    }
}

journal_model::totals journal_model::spent() const
{
    totals sum;
    for (const auto& each : m_processes) {
        sum.reads += each->store.reads;
        sum.writes += each->store.writes;
        sum.readBytes += each->store.readBytes;
        sum.writtenBytes += each->store.writtenBytes;
    }
    return sum;
}

journal_model::takeover journal_model::takeOver(std::size_t count)
{
    const auto before = spent();
    const auto begin = m_clock.now();
    takeover result;
    const auto first = m_processes.size();
    const std::size_t takers = std::min(count, m_settings.daemons);
    for (std::size_t index = 0; index < takers; ++index)
        addProcess();
    for (std::size_t shard = 0; shard < count; ++shard) {
        auto next = makeOwner(*m_processes[first + shard % takers], shard);
        m_former.push_back(std::exchange(m_shards[shard], std::move(next)));
    }
    const auto isOpen = [this, count] {
        return std::all_of(m_shards.begin(), m_shards.begin() + static_cast<std::ptrdiff_t>(count), [](const auto& shard) { return shard->log->state() == journal::log_state::Open; });
    };
    while (!isOpen() && m_clock.now() - begin < openLimit)
        m_clock.runFor(utils::milliseconds(1));
    result.seconds = std::chrono::duration<double>(m_clock.now() - begin).count();
    const auto after = spent();
    result.cost = { after.reads - before.reads, after.writes - before.writes, after.readBytes - before.readBytes, after.writtenBytes - before.writtenBytes };
    for (std::size_t shard = 0; shard < count; ++shard) {
        result.entries += m_shards[shard]->replayed;
        result.isWhole = result.isWhole && m_shards[shard]->log->state() == journal::log_state::Open && m_shards[shard]->state.tasks > m_settings.tasksPerShard / 2;
    }
    return result;
}

} // namespace camphorsaddle::bench
