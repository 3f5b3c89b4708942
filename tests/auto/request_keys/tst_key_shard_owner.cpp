#include "request_keys/key_shard_owner.h"

#include <algorithm>
#include <deque>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "request_keys/key_codec.h"
#include "standins/fake_store.h"
#include "gtest/gtest.h"

#include "rapidcheck/gtest.h"

namespace camphorsaddle::request_keys {

namespace {

    using utils::milliseconds;
    using utils::seconds;

    const std::map<std::string, std::uint64_t> allMembers { { "a", 1 }, { "b", 1 }, { "c", 1 } };

    //! \brief A process that owns the shard, with its own connection to the store.
    struct owner_process {
        owner_process(standins::virtual_clock& clock, standins::fake_database& database, std::size_t number)
            : store(clock, database, static_cast<unsigned>(number + 1))
            , budget(200, 4)
            , owner(store, clock, budget, { .name = "keys-0", .writer = absl::StrCat("writer-", number), .keyTtl = seconds(3600) },
                  [&clock] { return std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch()).count(); })
        {
            owner.setLiveMembers(allMembers);
            owner.open();
        }

        standins::fake_store store;
        journal::write_budget budget;
        key_shard_owner owner;
    };

    class key_shard_owner_test : public testing::Test {
    protected:
        key_shard_owner_test()
        {
            takeOver();
        }

        void takeOver()
        {
            m_processes.push_back(std::make_unique<owner_process>(m_clock, m_database, m_processes.size()));
            m_clock.runFor(seconds(1));
        }

        key_shard_owner& owner()
        {
            return m_processes.back()->owner;
        }

        //! Claims the key; returns the index of the claim's results in m_results.
        std::size_t claim(const claimant& holder, std::uint64_t fingerprint = 7)
        {
            const auto index = m_results.size();
            m_results.emplace_back();
            owner().claim("key", holder, fingerprint, [this, index](claim_result result) {
                if (result.verdict != claim_verdict::Wait)
                    m_results[index].push_back(std::move(result));
            });
            m_clock.runFor(seconds(1));
            return index;
        }

        claim_verdict verdict(std::size_t index) const
        {
            return m_results[index].size() == 1 ? m_results[index].front().verdict : claim_verdict::Wait;
        }

        standins::virtual_clock m_clock;
        standins::fake_database m_database { m_clock };
        //! Must outlive the owners, because they answer waiting claims in their destructors.
        std::deque<std::vector<claim_result>> m_results;
        std::deque<std::unique_ptr<owner_process>> m_processes;
        claimant m_firstClaimant { "a", 1, 1 };
        claimant m_secondClaimant { "b", 1, 1 };
        key_answer m_answer { 200, { { "type", "text" } }, "done" };
    };

    TEST_F(key_shard_owner_test, RepeatedRequestGetsTheStoredAnswerAlsoFromTheNextOwner)
    {
        EXPECT_EQ(verdict(claim(m_firstClaimant)), claim_verdict::Granted);
        const auto second = claim(m_secondClaimant);
        EXPECT_TRUE(m_results[second].empty());
        owner().endClaim("key", m_firstClaimant, key_phase::Answered, m_answer);
        m_clock.runFor(seconds(1));
        EXPECT_EQ(verdict(second), claim_verdict::Answered);
        EXPECT_EQ(m_results[second].front().answer, m_answer);
        takeOver();
        const auto third = claim(m_secondClaimant);
        EXPECT_EQ(verdict(third), claim_verdict::Answered);
        EXPECT_EQ(m_results[third].front().answer, m_answer);
        EXPECT_EQ(verdict(claim(m_secondClaimant, 8)), claim_verdict::Mismatch);
    }

    TEST_F(key_shard_owner_test, ClaimOfALostGatewayEndsAsUnknownForEachRepetition)
    {
        claim(m_firstClaimant);
        const auto waiting = claim(m_secondClaimant);
        owner().setLiveMembers({ { "a", 2 }, { "b", 1 } });
        m_clock.runFor(seconds(1));
        EXPECT_EQ(verdict(waiting), claim_verdict::Unknown);
        owner().endClaim("key", m_firstClaimant, key_phase::Answered, m_answer);
        takeOver();
        EXPECT_EQ(verdict(claim(m_secondClaimant)), claim_verdict::Unknown);
    }

    TEST_F(key_shard_owner_test, NothingIsGrantedWhileTheStoreIsDown)
    {
        m_processes.back()->store.faults.isUnavailable = true;
        const auto first = claim(m_firstClaimant);
        m_clock.runFor(seconds(60));
        EXPECT_TRUE(m_results[first].empty());
        EXPECT_EQ(verdict(claim({ "b", 1, 2 })), claim_verdict::Unavailable);
        // The gateway has withdrawn the first claim; the claim and the withdrawal are committed in this order.
        owner().endClaim("key", m_firstClaimant, key_phase::Withdrawn, {});
        m_processes.back()->store.faults.isUnavailable = false;
        m_clock.runFor(seconds(10));
        EXPECT_EQ(verdict(claim(m_secondClaimant)), claim_verdict::Granted);
    }

    TEST_F(key_shard_owner_test, WithdrawnKeyGoesToTheNextWaitingClaim)
    {
        claim(m_firstClaimant);
        const auto second = claim(m_secondClaimant);
        const auto third = claim({ "c", 1, 1 });
        owner().endClaim("key", m_firstClaimant, key_phase::Withdrawn, {});
        m_clock.runFor(seconds(1));
        EXPECT_EQ(verdict(second), claim_verdict::Granted);
        EXPECT_TRUE(m_results[third].empty());
    }

    TEST_F(key_shard_owner_test, KeyExpiresAfterItsTtlAndALargeAnswerIsNotStored)
    {
        claim(m_firstClaimant);
        owner().endClaim("key", m_firstClaimant, key_phase::Answered, { 200, {}, std::string(17 * 1024, 'x') });
        m_clock.runFor(seconds(1));
        EXPECT_EQ(verdict(claim(m_secondClaimant)), claim_verdict::Unknown);
        m_clock.runFor(seconds(3600));
        EXPECT_EQ(verdict(claim(m_secondClaimant)), claim_verdict::Granted);
        EXPECT_EQ(owner().table().records().size(), 1U);
    }

    TEST_F(key_shard_owner_test, ReleasedShardIsTakenOverWithinASecond)
    {
        claim(m_firstClaimant);
        bool isReleased = false;
        owner().release([&isReleased] { isReleased = true; });
        m_clock.runFor(milliseconds(500));
        EXPECT_TRUE(isReleased);
        m_processes.push_back(std::make_unique<owner_process>(m_clock, m_database, 9));
        m_clock.runFor(milliseconds(500));
        EXPECT_TRUE(owner().isReady());
        EXPECT_EQ(owner().table().record("key")->holder, m_firstClaimant);
    }

    TEST(keyCodec, RejectsInvalidData)
    {
        EXPECT_TRUE(absl::IsDataLoss(decodeEntry("?").status()));
        EXPECT_TRUE(absl::IsDataLoss(decodeEntry(encodeEntry({ "key", 1, { static_cast<key_phase>(9), {}, 0, 0, {} } })).status()));
        EXPECT_TRUE(absl::IsDataLoss(decodeSnapshot("?").status()));
    }

    // Simulates gateways that send each granted request, with owners that lose the shard or store responses, or stop.
    RC_GTEST_PROP(key_shard_owner_property, RunsNoRequestTwiceAndRepeatsTheFirstAnswer, ())
    {
        standins::virtual_clock clock;
        standins::fake_database database(clock);
        std::deque<std::unique_ptr<owner_process>> processes;
        const auto takeOver = [&] {
            processes.push_back(std::make_unique<owner_process>(clock, database, processes.size()));
        };
        takeOver();
        struct run {
            claimant holder;
            bool isEnded = false;
            bool isWithdrawn = false;
        };
        std::map<std::string, std::vector<run>> runs;
        std::map<std::string, std::set<std::string>> answers;
        const auto steps = *rc::gen::scale(4, rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(rc::gen::tuple(rc::gen::inRange(0U, 14U), rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 300U))));
        std::uint64_t ticket = 0;
        for (const auto& [kind, choice, amount] : steps) {
            auto& process = *processes[processes.size() - 1 - choice % std::min<std::size_t>(processes.size(), 2)];
            const std::string key = absl::StrCat("key-", amount % 3);
            if (kind < 5) {
                const claimant holder { std::string(1, static_cast<char>('a' + choice)), 1, ++ticket };
                process.owner.claim(key, holder, 7, [&runs, &answers, key, holder](const claim_result& result) {
                    if (result.verdict == claim_verdict::Granted)
                        runs[key].push_back({ holder });
                    else if (result.verdict == claim_verdict::Answered)
                        answers[key].insert(result.answer.body);
                });
            } else if (kind < 8) {
                for (auto& each : runs[key]) {
                    if (std::exchange(each.isEnded, true))
                        continue;
                    each.isWithdrawn = amount % 5 == 0;
                    const auto end = each.isWithdrawn ? key_phase::Withdrawn : amount % 5 == 1 ? key_phase::Unknown
                                                                                               : key_phase::Answered;
                    processes.back()->owner.endClaim(key, each.holder, end, { 200, {}, absl::StrCat(key, each.holder.member, each.holder.ticket) });
                }
            } else if (kind < 11) {
                clock.runFor(milliseconds(amount));
            } else if (kind == 11) {
                takeOver();
            } else if (kind == 12) {
                process.store.faults.lostResponsePercent = amount % 50;
                process.store.faults.isUnavailable = amount % 7 == 0;
            } else {
                process.store.faults = {};
            }
        }
        for (const auto& process : processes)
            process->store.faults = {};
        clock.runFor(seconds(60));
        for (const auto& [key, ran] : runs) {
            const auto count = std::count_if(ran.begin(), ran.end(), [](const run& each) { return !each.isWithdrawn; });
            RC_ASSERT(count <= 1);
            RC_ASSERT(answers[key].size() <= 1U);
        }
        RC_CLASSIFY(runs.size() == 3, "each key granted");
    }

} // namespace

} // namespace camphorsaddle::request_keys
