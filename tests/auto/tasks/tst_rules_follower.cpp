#include <gtest/gtest.h>

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "tasks/coordinator/rules_follower.h"
#include "tasks/transacting_store.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;

namespace {

constexpr utils::milliseconds shortTime { 200 };
constexpr utils::milliseconds unconfirmedTime { 1400 };

// Rules are written down as VERSION:QUEUE,QUEUE,...
class plain_format final : public jobs::deployment_format {
public:
    std::string rulesKey() const override
    {
        return "rules";
    }

    absl::StatusOr<jobs::deployment_rules> parseRules(const std::string& value) const override
    {
        const std::pair<std::string, std::string> parts = absl::StrSplit(value, absl::MaxSplits(':', 1));
        jobs::deployment_rules rules;
        if (!absl::SimpleAtoi(parts.first, &rules.version))
            return absl::InvalidArgumentError(value);
        for (const auto& name : absl::StrSplit(parts.second, ',')) {
            jobs::queue_rules queue;
            queue.name = std::string(name);
            rules.queues.push_back(queue);
        }
        return rules;
    }

    std::string workerKeyPrefix() const override
    {
        return "workers/";
    }

    absl::StatusOr<jobs::worker_description> parseWorker(const std::string&, const std::string&) const override
    {
        return absl::UnimplementedError("not used");
    }

    absl::StatusOr<jobs::job_spec> parseJob(const std::string&) const override
    {
        return absl::UnimplementedError("not used");
    }

    std::string callerTimeoutHeader() const override
    {
        return "patience";
    }

    std::string renderPhase(jobs::job_phase) const override
    {
        return {};
    }

    std::string renderPendingJobCount(std::uint64_t) const override
    {
        return {};
    }
};

class following_rules : public ::testing::Test {
protected:
    following_rules()
    {
        m_store.put("rules", "1:a,b");
        m_leader.start();
        m_follower.start();
        m_leader.setLeads(true);
        runLoop(m_loop, shortTime);
    }

    void deliver(const protocol::CoordinatorEnvelope& envelope)
    {
        ++m_updates;
        m_largestUpdate = std::max(m_largestUpdate, envelope.ByteSizeLong());
        if (!m_isCut)
            m_follower.takeUpdate(envelope.rules());
    }

    void sayHello()
    {
        const auto now = utils::nowIncludingSuspend();
        protocol::CarrierHello hello;
        hello.set_endpoint("follower");
        m_follower.fillHello(hello, now);
        m_leader.answerHello(hello, now);
    }

    void runFor(utils::milliseconds duration)
    {
        transport::timer ticks(m_loop, [this] {
            if (!m_isLeaderGone)
                m_leader.tick(utils::nowIncludingSuspend());
            m_follower.tick(utils::nowIncludingSuspend());
        });
        transport::timer hellos(m_loop, [this] {
            if (!m_isLeaderGone)
                sayHello();
        });
        ticks.startRepeating(utils::milliseconds(20));
        hellos.startRepeating(utils::milliseconds(100));
        runLoop(m_loop, duration);
    }

    std::uint64_t versionOf(const rules_follower& side) const
    {
        return side.rules() == nullptr ? 0 : side.rules()->version;
    }

    transport::event_loop m_loop;
    transacting_store m_store { m_loop };
    plain_format m_format;
    bool m_isCut = false;
    bool m_isLeaderGone = false;
    //! Bytes.
    std::size_t m_largestUpdate = 0;
    unsigned m_updates = 0;
    rules_follower m_leader { m_loop, m_store, m_format, [](const auto&) {}, [this](const auto&, const auto& envelope) {
                                 deliver(envelope);
                             } };
    rules_follower m_follower { m_loop, m_store, m_format, [](const auto&) {}, [](const auto&, const auto&) {
                               } };
};

} // namespace

// Found on pregon-unido-grown trouble-3 (CONFIG, TWICE): 37 daemons read 468 KB each with every change and each second,
// which filled the links between the regions.
TEST_F(following_rules, ChangeComesFromTheLeaderAlone)
{
    sayHello();
    std::string many = "2:";
    for (int number = 0; number < 1000; ++number)
        absl::StrAppend(&many, "queue", number, ",");
    m_store.put("rules", many + "a,b");
    runFor(shortTime);
    EXPECT_EQ(versionOf(m_follower), 2u);
    const auto listings = m_store.listings;
    const auto watches = m_store.watches;
    m_largestUpdate = 0;
    m_store.put("rules", "3:" + many.substr(2) + "a,c");
    runFor(unconfirmedTime * 2);
    EXPECT_EQ(versionOf(m_follower), 3u);
    EXPECT_EQ(m_follower.rules()->queues.size(), m_leader.rules()->queues.size());
    // Two queues of a thousand.
    EXPECT_GT(m_largestUpdate, 0u);
    EXPECT_LT(m_largestUpdate, 200u);
    EXPECT_EQ(m_store.listings, listings);
    // The leader's waiting watch and two refreshes a second.
    EXPECT_LE(m_store.watches, watches + 8);
}

TEST_F(following_rules, StoreIsAskedWithoutALeader)
{
    m_isLeaderGone = true;
    m_store.put("rules", "2:a");
    runFor(unconfirmedTime + shortTime);
    EXPECT_EQ(versionOf(m_follower), 2u);
}

TEST_F(following_rules, StoreIsAskedWhenTheLeadersWordIsOld)
{
    runFor(shortTime);
    // The leader answers on, but has not heard from the store since: its watch is mute and it asks no more.
    m_store.isMute = true;
    m_store.put("rules", "2:a");
    transport::timer answers(m_loop, [this] { sayHello(); });
    answers.startRepeating(utils::milliseconds(100));
    transport::timer ticks(m_loop, [this] { m_follower.tick(utils::nowIncludingSuspend()); });
    ticks.startRepeating(utils::milliseconds(20));
    runLoop(m_loop, unconfirmedTime + shortTime);
    EXPECT_EQ(versionOf(m_leader), 1u);
    EXPECT_EQ(versionOf(m_follower), 2u);
}

TEST_F(following_rules, ChangeThatGotLostComesWithTheNextAnswer)
{
    sayHello();
    m_isCut = true;
    m_store.put("rules", "2:a");
    runFor(shortTime);
    EXPECT_EQ(versionOf(m_follower), 1u);
    m_isCut = false;
    runFor(shortTime);
    EXPECT_EQ(versionOf(m_follower), 2u);
}

TEST_F(following_rules, RulesNeverGoBack)
{
    m_store.put("rules", "5:a");
    m_isLeaderGone = true;
    runFor(unconfirmedTime + shortTime);
    ASSERT_EQ(versionOf(m_follower), 5u);
    protocol::RulesUpdate old;
    old.set_from_revision(2);
    old.set_revision(3);
    old.set_version(2);
    m_follower.takeUpdate(old);
    EXPECT_EQ(versionOf(m_follower), 5u);
}

// Changes for a host that was replaced would pile up in the queue of its connection.
TEST_F(following_rules, DaemonThatIsGoneIsToldNothing)
{
    sayHello();
    runLoop(m_loop, unconfirmedTime);
    const auto before = m_updates;
    m_store.put("rules", "2:a");
    runLoop(m_loop, shortTime);
    EXPECT_EQ(versionOf(m_leader), 2u);
    EXPECT_EQ(m_updates, before);
}
