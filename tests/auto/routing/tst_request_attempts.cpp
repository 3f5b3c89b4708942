#include "routing/request_attempts.h"

#include <map>
#include <random>

#include "routing/retry_policy.h"

#include "gtest/gtest.h"

#include "rapidcheck/gtest.h"

namespace camphorsaddle::routing {

namespace {

    using utils::milliseconds;

    //! What actually happened to an attempt; the gateway may know less.
    struct actual_attempt {
        bool hasReachedMinion = false;
        bool hasRun = false;
    };

    //! \brief Simulates one request on a network that loses and delays messages at random.
    class request_history {
    public:
        request_history(std::mt19937& random, retry_budget& budget)
            : m_random(random)
            , m_budget(budget)
            , m_isRepeatable(randomBelow(2) == 0)
            , m_attempts(m_isRepeatable, m_now + milliseconds(1 + randomBelow(400)))
        {
            m_budget.countRequest();
            if (randomBelow(20) != 0)
                m_attempts.admit();
        }

        //! \brief Runs random events. They continue for some steps after the request has ended.
        void run()
        {
            for (int step = 0; step < 60; ++step) {
                m_now += milliseconds(randomBelow(30));
                performRandomEvent();
            }
            recordAction(m_attempts.onDeadline());
            recordAction(m_attempts.onRefusal());
        }

        void check() const
        {
            RC_ASSERT(m_isCallerDisconnected || m_reported.size() == 1U);
            int runCount = 0;
            int reachedCount = 0;
            for (const auto& [number, attempt] : m_actualAttempts) {
                runCount += attempt.hasRun ? 1 : 0;
                reachedCount += attempt.hasReachedMinion ? 1 : 0;
            }
            if (!m_isRepeatable)
                RC_ASSERT(reachedCount <= 1);
            if (m_reported.count(request_action::ReportNotRun) > 0)
                RC_ASSERT(runCount == 0);
            if (m_reported.count(request_action::ForwardResponse) > 0)
                RC_ASSERT(runCount >= 1);
        }

        int retryCount() const
        {
            return m_retryCount;
        }

    private:
        int randomBelow(int bound)
        {
            return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
        }

        void performRandomEvent()
        {
            switch (randomBelow(5)) {
            case 0:
                send();
                break;
            case 1:
                fail();
                break;
            case 2:
                if (m_now >= m_attempts.deadline())
                    recordAction(m_attempts.onDeadline());
                break;
            case 3:
                if (randomBelow(10) == 0)
                    recordAction(m_attempts.onRefusal());
                else if (randomBelow(20) == 0 && !m_attempts.isFinished()) {
                    m_isCallerDisconnected = true;
                    recordAction(m_attempts.onCallerDisconnected());
                }
                break;
            default:
                respond();
            }
        }

        void send()
        {
            const bool isRetry = m_attempts.attemptCount() > 0;
            if (!m_attempts.maySend(m_now) || (isRetry && !m_budget.tryConsume()))
                return;
            m_retryCount += isRetry ? 1 : 0;
            const int number = m_attempts.beginAttempt();
            m_actualAttempts[number].hasReachedMinion = randomBelow(3) != 0;
            m_actualAttempts[number].hasRun = m_actualAttempts[number].hasReachedMinion && randomBelow(3) != 0;
        }

        // A response may arrive twice or after its attempt has failed.
        void respond()
        {
            const int number = 1 + randomBelow(4);
            const auto found = m_actualAttempts.find(number);
            if (found != m_actualAttempts.end() && found->second.hasRun)
                recordAction(m_attempts.onResponse(number));
        }

        void fail()
        {
            const int number = 1 + randomBelow(4);
            const auto found = m_actualAttempts.find(number);
            if (found == m_actualAttempts.end())
                return;
            const auto& attempt = found->second;
            const auto failure = !attempt.hasReachedMinion ? (randomBelow(2) == 0 ? attempt_failure::NeverSent : attempt_failure::Lost)
                : !attempt.hasRun && randomBelow(2) == 0   ? attempt_failure::Refused
                                                           : attempt_failure::Lost;
            recordAction(m_attempts.onFailure(number, failure, randomBelow(4) != 0, m_now));
        }

        void recordAction(request_action action)
        {
            if (action == request_action::ForwardResponse || action == request_action::ReportNotRun || action == request_action::ReportUnknown) {
                RC_ASSERT(m_reported.empty());
                m_reported.insert(action);
            }
        }

        std::mt19937& m_random;
        retry_budget& m_budget;
        utils::time_point m_now { milliseconds(1000000) };
        bool m_isRepeatable;
        request_attempts m_attempts;
        std::map<int, actual_attempt> m_actualAttempts;
        std::set<request_action> m_reported;
        bool m_isCallerDisconnected = false;
        int m_retryCount = 0;
    };

    RC_GTEST_PROP(requestAttempts, ReportsExactlyOneCorrectOutcome, (std::uint32_t seed))
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
        int retries = 0;
        for (int request = 1; request <= 1000; ++request) {
            request_history history(random, budget);
            history.run();
            retries += history.retryCount();
            RC_ASSERT(retries * 10 <= request);
        }
        RC_ASSERT(retries > 0);
    }

    // Fails if the budget ignores the outcome of attempts.
    TEST(retryBudget, AllowsNoRetryWhileNearlyAllAttemptsFail)
    {
        retry_budget budget(1, 1000);
        const auto run = [&](int attempts, bool areAttemptsFailing) {
            int taken = 0;
            for (int attempt = 0; attempt < attempts; ++attempt) {
                budget.countRequest();
                budget.countAttempt(areAttemptsFailing);
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
