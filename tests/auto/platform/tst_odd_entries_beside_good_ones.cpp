#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/job_engine.h"
#include "platform/platform_adapter.h"
#include "tasks/coordinator/prefix_watch.h"
#include "tasks/coordinator/worker_directory.h"
#include "tasks/memory_store.h"
#include "tasks/plain_deployment_format.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;

namespace {

constexpr int keyCount = 6;
constexpr utils::milliseconds watchTimeout { 5000 };
// Only a failure lasts as long.
constexpr utils::milliseconds longestWait { 20'000 };
const utils::wall_time_point wallTime { utils::milliseconds(1'800'000'000'000) };

//! The platform's format of entries, with a count of those that were rejected.
class counting_format final : public test::plain_deployment_format<jobs::deployment_format> {
public:
    mutable int rejected = 0;

    std::string workerKeyPrefix() const override
    {
        return m_platform.workerKeyPrefix();
    }

    absl::StatusOr<jobs::worker_description> parseWorker(const std::string& key, const std::string& value, utils::wall_time_point now) const override
    {
        auto worker = m_platform.parseWorker(key, value, now);
        rejected += worker.ok() ? 0 : 1;
        return worker;
    }

private:
    platform::platform_adapter m_platform { "10.0.0.1:80" };
};

struct good_entry {
    int processors = 0;
    std::int64_t clock = 0;
};

std::string entryText(int key, const good_entry& entry)
{
    return R"({"Service":"s","Address":"10.0.0.)" + std::to_string(key + 1) + R"(:80","Zone":"z","State":"ready","Capacity":{"Cpu":)" + std::to_string(entry.processors) + R"(,"MemMb":1},"Labels":["a","r"],"born":7,"ClockMs":)" + std::to_string(entry.clock) + "}";
}

std::vector<std::string> oddTexts()
{
    const auto good = entryText(0, { 16'000, 5 });
    const auto replaced = [&](const std::string& from, const std::string& to) {
        auto text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    return { "", "{", "[]", "null", "\xff\xfe", replaced("\"ready\"", "\"asleep\""), replaced(":80", ":99999"), replaced(":80", ":0"), replaced("16000", "-5"), replaced("16000", "18446744073709551615"), replaced("16000", "1e999"), replaced("7", "1e30"), replaced("7", "9000000000000000000"),
        replaced("\"z\"", "null"), replaced("\"r\"", std::string(10'000, '[')), std::string(200'000, '['), good + "x", std::string(300'000, 'x') };
}

enum class operation_kind {
    Renew,
    ChangeCapacity,
    WriteOdd,
    Delete,
    Relist,
};

struct operation {
    operation_kind kind = operation_kind::Renew;
    int key = 0;
    std::string oddText;
};

void showValue(const operation& step, std::ostream& stream)
{
    stream << "kind " << static_cast<int>(step.kind) << " key " << step.key << " " << step.oddText.substr(0, 40);
}

rc::Gen<operation> operations()
{
    const auto kind = rc::gen::weightedElement<operation_kind>({ { 4, operation_kind::Renew }, { 2, operation_kind::ChangeCapacity }, { 4, operation_kind::WriteOdd }, { 1, operation_kind::Delete }, { 1, operation_kind::Relist } });
    const auto text = rc::gen::oneOf(rc::gen::elementOf(oddTexts()), rc::gen::arbitrary<std::string>());
    return rc::gen::construct<operation>(kind, rc::gen::inRange(0, keyCount), text);
}

//! The leader's path from the store to the engine, and what the engine must know.
class directory_simulation {
public:
    directory_simulation()
        : m_engine({}, 1, [](const jobs::engine_event&) {})
        , m_directory(m_format, m_engine)
        , m_watch(
              m_loop, m_store, m_format.workerKeyPrefix(), watchTimeout, [this](const auto& key, const auto* value) { m_directory.applyEntry(key, value, m_now, wallTime); }, [] {})
        , m_checkTimer(m_loop, [this] { checkEnd(); })
    {
        m_watch.start();
        waitForTheStore(false);
    }

    void apply(const operation& step)
    {
        const auto key = m_format.workerKeyPrefix() + idOf(step.key);
        auto& expected = m_expected[step.key];
        m_now += utils::milliseconds(10);
        switch (step.kind) {
        case operation_kind::Renew:
        case operation_kind::ChangeCapacity:
            expected = good_entry { !expected || step.kind == operation_kind::ChangeCapacity ? ++m_lastProcessors : expected->processors, ++m_lastClock };
            m_store.put(key, entryText(step.key, *expected));
            break;
        case operation_kind::WriteOdd:
            expected.reset();
            ++m_oddVersions;
            m_store.put(key, step.oddText);
            break;
        case operation_kind::Delete:
            expected.reset();
            m_store.content.erase(key);
            break;
        case operation_kind::Relist:
            break;
        }
        waitForTheStore(step.kind == operation_kind::Delete || step.kind == operation_kind::Relist);
    }

    void check() const
    {
        for (int key = 0; key < keyCount; ++key) {
            const auto found = m_engine.workers().find(idOf(key));
            const bool isAnnounced = found != m_engine.workers().end() && found->second->isAnnounced;
            const auto entry = m_expected.find(key);
            const bool isExpected = entry != m_expected.end() && entry->second;
            RC_ASSERT(isAnnounced == isExpected);
            if (!isExpected)
                continue;
            RC_ASSERT(found->second->description.capacity.processors == entry->second->processors);
            RC_ASSERT(found->second->description.renewedAt == entry->second->clock);
        }
        // Each rejection is one log line.
        RC_ASSERT(m_format.rejected <= m_oddVersions);
    }

private:
    static std::string idOf(int key)
    {
        return "i-" + std::to_string(key);
    }

    void waitForTheStore(bool relists)
    {
        m_awaitedListings = m_store.listings + (relists ? 1 : 0);
        if (relists)
            m_watch.relist();
        m_endAt = utils::nowIncludingSuspend() + longestWait;
        m_checkTimer.startRepeating(utils::milliseconds(1));
        m_loop.run();
        m_checkTimer.stop();
    }

    void checkEnd()
    {
        external::revision newest = 0;
        for (const auto& [key, value] : m_store.content)
            newest = std::max(newest, value.version);
        const bool hasCaughtUp = m_watch.isSynced() && !m_watch.isRequestPending() && m_watch.revision() >= newest && m_store.listings >= m_awaitedListings;
        if (hasCaughtUp || utils::nowIncludingSuspend() > m_endAt)
            m_loop.stop();
    }

    transport::event_loop m_loop;
    test::memory_store m_store { m_loop };
    counting_format m_format;
    jobs::job_engine m_engine;
    worker_directory m_directory;
    prefix_watch m_watch;
    transport::timer m_checkTimer;
    utils::time_point m_now { utils::milliseconds(1'000'000) };
    utils::time_point m_endAt;
    unsigned m_awaitedListings = 0;
    std::map<int, std::optional<good_entry>> m_expected;
    int m_oddVersions = 0;
    int m_lastProcessors = 1'000;
    std::int64_t m_lastClock = 1'000;
};

} // namespace

RC_GTEST_PROP(OddEntries, LeaveTheGoodOnesAlone, ())
{
    directory_simulation simulation;
    for (const auto& step : *rc::gen::scale(0.5, rc::gen::container<std::vector<operation>>(operations()))) {
        simulation.apply(step);
        simulation.check();
    }
}

// A worker whose entry was overwritten gets no starts until its own next entry.
RC_GTEST_PROP(OddEntry, WithdrawsItsWorkerUntilItsNextEntry, ())
{
    const auto text = *rc::gen::elementOf(oddTexts());
    directory_simulation simulation;
    for (const auto kind : { operation_kind::Renew, operation_kind::WriteOdd, operation_kind::Relist, operation_kind::Renew, operation_kind::WriteOdd, operation_kind::WriteOdd, operation_kind::Delete, operation_kind::Renew }) {
        simulation.apply({ kind, 0, text });
        simulation.check();
    }
}
