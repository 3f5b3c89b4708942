#include "membership/session_driver.h"

#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "external/guarded_store.h"
#include "membership/assignment.h"
#include "standins/fake_store.h"
#include "standins/pausable_loop.h"
#include "gtest/gtest.h"

namespace camphorsaddle::membership {

namespace {

    using utils::milliseconds;
    using utils::seconds;

    constexpr milliseconds leaseDuration { 3500 };

    class deployment;

    struct daemon {
        daemon(deployment& all, int number, std::uint64_t incarnation);

        standins::fake_store store;
        standins::pausable_executor loop;
        utils::metric_registry metrics;
        external::guarded_store guard;
        std::vector<membership_report> reports;
        bool isMute = false;
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

        //! Stops a daemon for good; calls in flight may still reach its remains.
        void kill(std::size_t index)
        {
            daemons[index]->loop.pause();
            daemons[index]->store.faults.isPaused = true;
            m_killed.push_back(std::move(daemons[index]));
            daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(index));
        }

        //! Runs and checks at each step that whoever counts itself as a member has its key in the store.
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

        int members() const
        {
            int count = 0;
            for (const auto& each : daemons)
                count += each->session.report().isMember ? 1 : 0;
            return count;
        }

        //! Shards whose owner by each daemon's own view is that daemon.
        int ownedShards() const
        {
            int owned = 0;
            for (int index = 0; index < 28; ++index) {
                const shard_location place { absl::StrCat("shard-", index), "a", "near" };
                for (const auto& each : daemons) {
                    const auto& report = each->session.report();
                    const auto* owner = ownerOf(place, report.view);
                    owned += report.isMember && owner != nullptr && owner->id == each->id() ? 1 : 0;
                }
            }
            return owned;
        }

    private:
        std::vector<std::unique_ptr<daemon>> m_killed;
    };

    daemon::daemon(deployment& all, int number, std::uint64_t incarnation)
        : store(all.clock, all.database, static_cast<unsigned>(number + 1))
        , loop(all.clock)
        , guard(store, loop, metrics, { .seed = static_cast<std::uint64_t>(number) + 1 })
        , name(absl::StrCat("daemon-", number))
        , session(guard, loop, { .id = name, .dataCentre = number < 4 ? "a" : "b", .region = "near", .incarnation = incarnation }, { .leaseDuration = leaseDuration },
              static_cast<std::uint64_t>(number) + 1,
              { .report = [this](const membership_report& report) { reports.push_back(report); },
                  .sendHeartbeat = [this, &all] {
                      for (const auto& each : all.daemons) {
                          if (!isMute && each.get() != this)
                              each->session.heard(name);
                      } },
                  .left = [this] {
                      hasLeft = true;
                  } })
    {
    }

    class member_session_test : public testing::Test {
    protected:
        deployment m_all;
    };

    TEST_F(member_session_test, SevenDaemonsSeeEachOtherAndShareTheShards)
    {
        m_all.addSeven();
        m_all.runFor(seconds(2));
        EXPECT_EQ(m_all.members(), 7);
        EXPECT_EQ(m_all.ownedShards(), 28);
        std::uint64_t before = 0;
        for (const auto& each : m_all.daemons)
            before += each->store.reads + each->store.writes;
        m_all.runFor(seconds(60));
        std::uint64_t after = 0;
        for (const auto& each : m_all.daemons)
            after += each->store.reads + each->store.writes;
        EXPECT_EQ(after, before) << "reads or writes beside renewals and watches";
    }

    TEST_F(member_session_test, LeaseThatLapsedInAPauseIsNoticedBeforeAnythingElse)
    {
        m_all.addSeven();
        m_all.runFor(seconds(2));
        auto& stopped = *m_all.daemons[2];
        stopped.isPaused = true;
        stopped.loop.pause();
        stopped.store.faults.isPaused = true;
        m_all.runFor(seconds(10));
        EXPECT_EQ(m_all.daemons[0]->session.report().view.members.size(), 6U);
        const auto before = stopped.reports.size();
        stopped.store.resume();
        stopped.loop.resume();
        stopped.isPaused = false;
        m_all.runFor(seconds(10));
        ASSERT_GT(stopped.reports.size(), before);
        EXPECT_FALSE(stopped.reports[before].isMember);
        EXPECT_TRUE(stopped.session.report().isMember);
        // Its own pause makes no peer silent.
        for (const auto& report : stopped.reports)
            EXPECT_TRUE(report.silent.empty());
        EXPECT_EQ(m_all.ownedShards(), 28);
    }

    TEST_F(member_session_test, LostAnswersForMinutesEndTheMembershipAndNeverFakeIt)
    {
        m_all.addSeven();
        m_all.runFor(seconds(2));
        auto& deaf = *m_all.daemons[3];
        deaf.store.faults.lostResponsePercent = 100;
        m_all.runFor(seconds(180));
        EXPECT_FALSE(deaf.session.report().isMember);
        deaf.store.faults = {};
        m_all.runFor(seconds(15));
        EXPECT_EQ(m_all.members(), 7);
        EXPECT_EQ(m_all.ownedShards(), 28);
    }

    TEST_F(member_session_test, OutageOfAnHourEndsInOneViewAgain)
    {
        m_all.addSeven();
        m_all.runFor(seconds(2));
        for (const auto& each : m_all.daemons)
            each->store.faults.isUnavailable = true;
        m_all.runFor(seconds(3600));
        EXPECT_EQ(m_all.members(), 0);
        for (const auto& each : m_all.daemons) {
            // The last known view stays.
            EXPECT_EQ(each->session.report().view.members.size(), 6U);
            EXPECT_TRUE(each->session.report().silent.empty());
            each->store.faults = {};
        }
        m_all.runFor(seconds(5));
        EXPECT_EQ(m_all.members(), 7);
        EXPECT_EQ(m_all.ownedShards(), 28);
    }

    TEST_F(member_session_test, AllHostsAreReplacedOneAfterAnother)
    {
        m_all.addSeven();
        m_all.runFor(seconds(2));
        for (int number = 0; number < 7; ++number) {
            auto& leaving = *m_all.daemons.front();
            leaving.session.leave();
            m_all.runFor(seconds(1));
            EXPECT_TRUE(leaving.hasLeft);
            EXPECT_EQ(m_all.members(), 6);
            EXPECT_EQ(m_all.ownedShards(), 28) << "a second after the leave of " << number;
            m_all.kill(0);
            m_all.add(number, 2);
            m_all.runFor(seconds(1));
            EXPECT_EQ(m_all.members(), 7);
            EXPECT_EQ(m_all.ownedShards(), 28);
        }
    }

    TEST_F(member_session_test, DataCentreThatIsGoneLosesItsShardsAfterTheTerm)
    {
        m_all.addSeven();
        m_all.runFor(seconds(2));
        while (m_all.daemons.size() > 4)
            m_all.kill(4);
        m_all.runFor(leaseDuration + milliseconds(200));
        EXPECT_EQ(m_all.daemons[0]->session.report().view.members.size(), 4U);
        EXPECT_EQ(m_all.ownedShards(), 28);
    }

    TEST_F(member_session_test, RestartOfEverythingReadsLittleAndWaitsForTheStore)
    {
        for (int number = 0; number < 7; ++number)
            m_all.add(number).store.faults.isUnavailable = true;
        m_all.runFor(seconds(60));
        EXPECT_EQ(m_all.members(), 0);
        std::uint64_t before = 0;
        for (const auto& each : m_all.daemons) {
            before += each->store.reads;
            each->store.faults = {};
        }
        m_all.runFor(seconds(5));
        std::uint64_t after = 0;
        for (const auto& each : m_all.daemons)
            after += each->store.reads;
        EXPECT_EQ(m_all.members(), 7);
        // A listing and the own key each, and repeats.
        EXPECT_LE(after - before, 7U * 4);
    }

    TEST_F(member_session_test, MissingHeartbeatsMoveLoadButNoOwnership)
    {
        m_all.addSeven();
        m_all.runFor(seconds(5));
        const auto before = m_all.daemons[0]->session.report().view;
        m_all.daemons[5]->isMute = true;
        m_all.runFor(seconds(5));
        EXPECT_EQ(m_all.daemons[0]->session.report().silent, std::set<std::string> { "daemon-5" });
        EXPECT_EQ(m_all.daemons[0]->session.report().view, before);
        EXPECT_EQ(m_all.ownedShards(), 28);
        m_all.daemons[5]->isMute = false;
        m_all.runFor(seconds(1));
        EXPECT_TRUE(m_all.daemons[0]->session.report().silent.empty());
    }

    TEST_F(member_session_test, LaterProcessWithTheSameIdWins)
    {
        m_all.addSeven();
        m_all.runFor(seconds(2));
        m_all.add(0, 2);
        m_all.runFor(seconds(20));
        EXPECT_FALSE(m_all.daemons.front()->session.report().isMember);
        EXPECT_TRUE(m_all.daemons.back()->session.report().isMember);
    }

    TEST_F(member_session_test, UnreachableWorkersAreToldWithoutALapse)
    {
        m_all.addSeven();
        m_all.runFor(seconds(2));
        auto& changed = *m_all.daemons[1];
        const auto before = changed.reports.size();
        changed.session.setUnreachable({ "b", "a" });
        m_all.runFor(seconds(1));
        EXPECT_EQ(m_all.daemons[0]->session.report().view.members.at(1).unreachable, (std::vector<std::string> { "a", "b" }));
        for (auto index = before; index < changed.reports.size(); ++index)
            EXPECT_TRUE(changed.reports[index].isMember);
    }

} // namespace

} // namespace camphorsaddle::membership
