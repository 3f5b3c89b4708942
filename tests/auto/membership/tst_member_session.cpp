#include "membership/session_driver.h"

#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "external/guarded_store.h"
#include "membership/assignment.h"
#include "standins/fake_store.h"
#include "standins/pausable_executor.h"
#include "gtest/gtest.h"

namespace camphorsaddle::membership {

namespace {

    using utils::milliseconds;
    using utils::seconds;

    constexpr milliseconds leaseDuration { 3500 };

    class deployment;

    struct daemon {
        daemon(deployment& owner, int number, std::uint64_t incarnation);

        standins::fake_store store;
        standins::pausable_executor loop;
        utils::metric_registry metrics;
        external::guarded_store guard;
        std::vector<membership_report> reports;
        bool skipsHeartbeats = false;
        bool hasLeft = false;
        bool isPaused = false;
        std::string name;
        session_driver session;

        const std::string& id() const
        {
            return name;
        }
    };

    class deployment {
    public:
        standins::virtual_clock clock;
        standins::fake_database database { clock };
        std::vector<std::unique_ptr<daemon>> daemons;

        daemon& add(int number, std::uint64_t incarnation = 1)
        {
            daemons.push_back(std::make_unique<daemon>(*this, number, incarnation));
            daemons.back()->session.start();
            return *daemons.back();
        }

        void addSeven()
        {
            for (int number = 0; number < 7; ++number)
                add(number);
        }

        //! Stops a daemon permanently. The object stays alive, because answers to calls in flight may still arrive.
        void kill(std::size_t index)
        {
            daemons[index]->loop.pause();
            daemons[index]->store.faults.isPaused = true;
            m_killed.push_back(std::move(daemons[index]));
            daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(index));
        }

        //! Advances the clock and checks at each step that every daemon that reports itself as a member has its key in the store.
        void runFor(milliseconds duration)
        {
            for (milliseconds passed { 0 }; passed < duration; passed += milliseconds(10)) {
                clock.runFor(milliseconds(10));
                for (const auto& each : daemons) {
                    if (each->isPaused || !each->session.report().isMember)
                        continue;
                    const auto& self = *each;
                    ASSERT_TRUE(database.read(memberKey(self.id())).ok()) << self.id();
                }
            }
        }

        int memberCount() const
        {
            int count = 0;
            for (const auto& each : daemons)
                count += each->session.report().isMember ? 1 : 0;
            return count;
        }

        //! Number of shards that a daemon owns according to its own view, summed over all daemons.
        int ownedShardCount() const
        {
            int owned = 0;
            for (int index = 0; index < 28; ++index) {
                const shard_location shard { absl::StrCat("shard-", index), "a", "near" };
                for (const auto& each : daemons) {
                    const auto& report = each->session.report();
                    const auto* owner = ownerOf(shard, report.view);
                    owned += report.isMember && owner != nullptr && owner->id == each->id() ? 1 : 0;
                }
            }
            return owned;
        }

    private:
        std::vector<std::unique_ptr<daemon>> m_killed;
    };

    daemon::daemon(deployment& owner, int number, std::uint64_t incarnation)
        : store(owner.clock, owner.database, static_cast<unsigned>(number + 1))
        , loop(owner.clock)
        , guard(store, loop, metrics, { .seed = static_cast<std::uint64_t>(number) + 1 })
        , name(absl::StrCat("daemon-", number))
        , session(guard, loop, { .id = name, .dataCentre = number < 4 ? "a" : "b", .region = "near", .incarnation = incarnation }, { .leaseDuration = leaseDuration },
              static_cast<std::uint64_t>(number) + 1,
              { .publishReport = [this](const membership_report& report) { reports.push_back(report); },
                  .sendHeartbeat = [this, &owner] {
                      for (const auto& each : owner.daemons) {
                          if (!skipsHeartbeats && each.get() != this)
                              each->session.recordPeerMessage(name);
                      } },
                  .leaveCompleted = [this] {
                      hasLeft = true;
                  } })
    {
    }

    class member_session_test : public testing::Test {
    protected:
        deployment m_deployment;
    };

    TEST_F(member_session_test, SevenDaemonsJoinAndShareTheShards)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(2));
        EXPECT_EQ(m_deployment.memberCount(), 7);
        EXPECT_EQ(m_deployment.ownedShardCount(), 28);
        std::uint64_t before = 0;
        for (const auto& each : m_deployment.daemons)
            before += each->store.reads + each->store.writes;
        m_deployment.runFor(seconds(60));
        std::uint64_t after = 0;
        for (const auto& each : m_deployment.daemons)
            after += each->store.reads + each->store.writes;
        EXPECT_EQ(after, before) << "reads or writes other than renewals and watches";
    }

    TEST_F(member_session_test, LeaseThatExpiredDuringAPauseIsDetectedFirst)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(2));
        auto& stopped = *m_deployment.daemons[2];
        stopped.isPaused = true;
        stopped.loop.pause();
        stopped.store.faults.isPaused = true;
        m_deployment.runFor(seconds(10));
        EXPECT_EQ(m_deployment.daemons[0]->session.report().view.members.size(), 6U);
        const auto before = stopped.reports.size();
        stopped.store.resume();
        stopped.loop.resume();
        stopped.isPaused = false;
        m_deployment.runFor(seconds(10));
        ASSERT_GT(stopped.reports.size(), before);
        EXPECT_FALSE(stopped.reports[before].isMember);
        EXPECT_TRUE(stopped.session.report().isMember);
        // The daemon's own pause does not make any peer silent.
        for (const auto& report : stopped.reports)
            EXPECT_TRUE(report.silent.empty());
        EXPECT_EQ(m_deployment.ownedShardCount(), 28);
    }

    TEST_F(member_session_test, MinutesOfLostAnswersEndTheMembership)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(2));
        auto& affected = *m_deployment.daemons[3];
        affected.store.faults.lostResponsePercent = 100;
        m_deployment.runFor(seconds(180));
        EXPECT_FALSE(affected.session.report().isMember);
        affected.store.faults = {};
        m_deployment.runFor(seconds(15));
        EXPECT_EQ(m_deployment.memberCount(), 7);
        EXPECT_EQ(m_deployment.ownedShardCount(), 28);
    }

    TEST_F(member_session_test, AllDaemonsRejoinAfterAnHourOfOutage)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(2));
        for (const auto& each : m_deployment.daemons)
            each->store.faults.isUnavailable = true;
        m_deployment.runFor(seconds(3600));
        EXPECT_EQ(m_deployment.memberCount(), 0);
        for (const auto& each : m_deployment.daemons) {
            // The daemons keep the last known view.
            EXPECT_EQ(each->session.report().view.members.size(), 6U);
            EXPECT_TRUE(each->session.report().silent.empty());
            each->store.faults = {};
        }
        m_deployment.runFor(seconds(5));
        EXPECT_EQ(m_deployment.memberCount(), 7);
        EXPECT_EQ(m_deployment.ownedShardCount(), 28);
    }

    TEST_F(member_session_test, RollingReplacementOfAllHostsKeepsAllShardsOwned)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(2));
        for (int number = 0; number < 7; ++number) {
            auto& leaving = *m_deployment.daemons.front();
            leaving.session.leave();
            m_deployment.runFor(seconds(1));
            EXPECT_TRUE(leaving.hasLeft);
            EXPECT_EQ(m_deployment.memberCount(), 6);
            EXPECT_EQ(m_deployment.ownedShardCount(), 28) << "one second after the departure of daemon " << number;
            m_deployment.kill(0);
            m_deployment.add(number, 2);
            m_deployment.runFor(seconds(1));
            EXPECT_EQ(m_deployment.memberCount(), 7);
            EXPECT_EQ(m_deployment.ownedShardCount(), 28);
        }
    }

    TEST_F(member_session_test, FailedDataCentreLosesItsShardsAfterTheLeaseTerm)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(2));
        while (m_deployment.daemons.size() > 4)
            m_deployment.kill(4);
        m_deployment.runFor(leaseDuration + milliseconds(200));
        EXPECT_EQ(m_deployment.daemons[0]->session.report().view.members.size(), 4U);
        EXPECT_EQ(m_deployment.ownedShardCount(), 28);
    }

    TEST_F(member_session_test, FullRestartWaitsForTheStoreAndReadsLittle)
    {
        for (int number = 0; number < 7; ++number)
            m_deployment.add(number).store.faults.isUnavailable = true;
        m_deployment.runFor(seconds(60));
        EXPECT_EQ(m_deployment.memberCount(), 0);
        std::uint64_t before = 0;
        for (const auto& each : m_deployment.daemons) {
            before += each->store.reads;
            each->store.faults = {};
        }
        m_deployment.runFor(seconds(5));
        std::uint64_t after = 0;
        for (const auto& each : m_deployment.daemons)
            after += each->store.reads;
        EXPECT_EQ(m_deployment.memberCount(), 7);
        // Each daemon lists the members and reads its own key, with a few retries.
        EXPECT_LE(after - before, 7U * 4);
    }

    TEST_F(member_session_test, MissingHeartbeatsMarkAPeerSilentWithoutMovingShards)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(5));
        const auto before = m_deployment.daemons[0]->session.report().view;
        m_deployment.daemons[5]->skipsHeartbeats = true;
        m_deployment.runFor(seconds(5));
        EXPECT_EQ(m_deployment.daemons[0]->session.report().silent, std::set<std::string> { "daemon-5" });
        EXPECT_EQ(m_deployment.daemons[0]->session.report().view, before);
        EXPECT_EQ(m_deployment.ownedShardCount(), 28);
        m_deployment.daemons[5]->skipsHeartbeats = false;
        m_deployment.runFor(seconds(1));
        EXPECT_TRUE(m_deployment.daemons[0]->session.report().silent.empty());
    }

    TEST_F(member_session_test, LaterProcessWithTheSameIdTakesOver)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(2));
        m_deployment.add(0, 2);
        m_deployment.runFor(seconds(20));
        EXPECT_FALSE(m_deployment.daemons.front()->session.report().isMember);
        EXPECT_TRUE(m_deployment.daemons.back()->session.report().isMember);
    }

    TEST_F(member_session_test, UnreachableDataCentresArePublishedWithoutLosingTheMembership)
    {
        m_deployment.addSeven();
        m_deployment.runFor(seconds(2));
        auto& changed = *m_deployment.daemons[1];
        const auto before = changed.reports.size();
        changed.session.setUnreachableDataCentres({ "b", "a" });
        m_deployment.runFor(seconds(1));
        EXPECT_EQ(m_deployment.daemons[0]->session.report().view.members.at(1).unreachableDataCentres, (std::vector<std::string> { "a", "b" }));
        for (auto index = before; index < changed.reports.size(); ++index)
            EXPECT_TRUE(changed.reports[index].isMember);
    }

} // namespace

} // namespace camphorsaddle::membership
