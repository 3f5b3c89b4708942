#include "routing/request_course.h"

#include <map>
#include <random>

#include "routing/retry_policy.h"

#include "gtest/gtest.h"

#include "rapidcheck/gtest.h"

namespace camphorsaddle::routing {

namespace {

    using utils::milliseconds;

    //! What really happened to one attempt, beside what the gateway may have been told.
    struct true_attempt {
        bool reached = false;
        bool ran = false;
    };

    //! \brief One request with a network that loses and delays what it likes.
    class request_history {
    public:
        request_history(std::mt19937& random, retry_budget& budget)
            : m_random(random)
            , m_budget(budget)
            , m_repeatable(below(2) == 0)
            , m_attempts(m_repeatable, m_now + milliseconds(1 + below(400)))
        {
            m_budget.countRequest();
            if (below(20) != 0)
                m_attempts.admit();
        }

        //! \brief Runs to the end; late events go on for some steps after it.
        void run()
        {
            for (int step = 0; step < 60; ++step) {
                m_now += milliseconds(below(30));
                act();
            }
            note(m_attempts.onDeadline());
            note(m_attempts.onRefusal());
        }

        void check() const
        {
            RC_ASSERT(m_isCallerDisconnected || m_told.size() == 1U);
            int ran = 0;
            int reached = 0;
            for (const auto& [number, attempt] : m_trueAttempts) {
                ran += attempt.ran ? 1 : 0;
                reached += attempt.reached ? 1 : 0;
            }
            if (!m_repeatable)
                RC_ASSERT(reached <= 1);
            if (m_told.count(request_action::ReportNotRun) > 0)
                RC_ASSERT(ran == 0);
            if (m_told.count(request_action::ForwardResponse) > 0)
                RC_ASSERT(ran >= 1);
        }

        int extraSends() const
        {
            return m_extraSends;
        }

    private:
        int below(int bound)
        {
            return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
        }

        void act()
        {
            switch (below(5)) {
            case 0:
                send();
                break;
            case 1:
                fail();
                break;
            case 2:
                if (m_now >= m_attempts.deadline())
                    note(m_attempts.onDeadline());
                break;
            case 3:
                if (below(10) == 0)
                    note(m_attempts.onRefusal());
                else if (below(20) == 0 && !m_attempts.isFinished()) {
                    m_isCallerDisconnected = true;
                    note(m_attempts.onCallerDisconnected());
                }
                break;
            default:
                answer();
            }
        }

        void send()
        {
            const bool isExtra = m_attempts.attemptCount() > 0;
            if (!m_attempts.maySend(m_now) || (isExtra && !m_budget.tryConsume()))
                return;
            m_extraSends += isExtra ? 1 : 0;
            const int number = m_attempts.beginAttempt();
            m_trueAttempts[number].reached = below(3) != 0;
            m_trueAttempts[number].ran = m_trueAttempts[number].reached && below(3) != 0;
        }

        // An answer may come twice, or after its attempt was given up.
        void answer()
        {
            const int number = 1 + below(4);
            const auto found = m_trueAttempts.find(number);
            if (found != m_trueAttempts.end() && found->second.ran)
                note(m_attempts.onResponse(number));
        }

        void fail()
        {
            const int number = 1 + below(4);
            const auto found = m_trueAttempts.find(number);
            if (found == m_trueAttempts.end())
                return;
            const auto& attempt = found->second;
            const auto failure = !attempt.reached ? (below(2) == 0 ? attempt_failure::NeverSent : attempt_failure::Lost)
                : !attempt.ran && below(2) == 0   ? attempt_failure::Refused
                                                  : attempt_failure::Lost;
            note(m_attempts.onFailure(number, failure, below(4) != 0, m_now));
        }

        void note(request_action step)
        {
            if (step == request_action::ForwardResponse || step == request_action::ReportNotRun || step == request_action::ReportUnknown) {
                RC_ASSERT(m_told.empty());
                m_told.insert(step);
            }
        }

        std::mt19937& m_random;
        retry_budget& m_budget;
        utils::time_point m_now { milliseconds(1000000) };
        bool m_repeatable;
        request_attempts m_attempts;
        std::map<int, true_attempt> m_trueAttempts;
        std::set<request_action> m_told;
        bool m_isCallerDisconnected = false;
        int m_extraSends = 0;
    };

    RC_GTEST_PROP(requestAttempts, AnswersOnceAndTruly, (std::uint32_t seed))
    {
        std::mt19937 random(seed);
        retry_budget budget(1);
        for (int request = 0; request < 100; ++request) {
            request_history history(random, budget);
            history.run();
            history.check();
        }
    }

    RC_GTEST_PROP(retryBudget, IsNeverExceeded, (std::uint32_t seed))
    {
        std::mt19937 random(seed);
        retry_budget budget(0.1);
        int extra = 0;
        for (int request = 1; request <= 1000; ++request) {
            request_history history(random, budget);
            history.run();
            extra += history.extraSends();
            RC_ASSERT(extra * 10 <= request);
        }
        RC_ASSERT(extra > 0);
    }

    // Broken by a budget that does not look at the outcome of attempts.
    TEST(retryBudget, IsShutWhileNearlyAllAttemptsFail)
    {
        retry_budget budget(1, 1000);
        const auto run = [&](int attempts, bool areFailing) {
            int taken = 0;
            for (int attempt = 0; attempt < attempts; ++attempt) {
                budget.countRequest();
                budget.countAttempt(areFailing);
                taken += budget.tryConsume() ? 1 : 0;
            }
            return taken;
        };
        EXPECT_EQ(run(100, false), 100);
        EXPECT_LE(run(1000, true), 40);
        EXPECT_GE(run(100, false), 90);
    }

    TEST(retryDelay, StaysWithinAttemptsAndDeadline)
    {
        random_generator random(1);
        const utils::time_point now { milliseconds(1000000) };
        for (int round = 0; round < 200; ++round) {
            EXPECT_LE(retryDelay({}, 1, now, now + milliseconds(1000), random)->count(), 5);
            EXPECT_LE(retryDelay({}, 2, now, now + milliseconds(1000), random)->count(), 10);
            EXPECT_EQ(retryDelay({}, 3, now, now + milliseconds(1000), random), absl::nullopt);
            EXPECT_EQ(retryDelay({}, 1, now, now, random), absl::nullopt);
        }
    }

    TEST(hedgeTime, LeavesTimeForTheAnswer)
    {
        const utils::time_point now { milliseconds(1000000) };
        EXPECT_EQ(hedgeTime(milliseconds(50), milliseconds(20), now, now + milliseconds(71)), now + milliseconds(50));
        EXPECT_EQ(hedgeTime(milliseconds(50), milliseconds(20), now, now + milliseconds(70)), absl::nullopt);
    }

} // namespace

} // namespace camphorsaddle::routing
