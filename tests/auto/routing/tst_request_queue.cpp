#include "routing/request_queue.h"

#include <map>
#include <random>
#include <set>

#include "gtest/gtest.h"

#include "rapidcheck/gtest.h"

namespace camphorsaddle::routing {

namespace {

    using utils::milliseconds;

    const utils::time_point start { milliseconds(1000000) };

    waiting_request entry(std::uint64_t number, int priority, bool isPatient = false)
    {
        return { number, isPatient ? "reviews" : "renewals", "caller", priority, isPatient, start + milliseconds(100) };
    }

    bool always(const std::string&)
    {
        return true;
    }

    TEST(requestQueue, ShedsTheLeastPriorityFirst)
    {
        request_queue queue({ 2, 20 });
        absl::optional<std::uint64_t> shedNumber;
        EXPECT_EQ(queue.push(entry(1, 10), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(entry(2, 20), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(entry(3, 10), 0, 0, start, shedNumber), refusal_reason::QueueFull);
        EXPECT_EQ(queue.push(entry(4, 30), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(shedNumber, absl::optional<std::uint64_t>(1));
        EXPECT_EQ(queue.pop(always)->number, 4U);
        EXPECT_EQ(queue.pop(always)->number, 2U);
        EXPECT_EQ(queue.pop(always), absl::nullopt);
    }

    TEST(requestQueue, RefusesWhatWouldBeginAfterItsDeadline)
    {
        request_queue queue;
        absl::optional<std::uint64_t> shedNumber;
        for (std::uint64_t number = 0; number < 10; ++number)
            EXPECT_EQ(queue.push(entry(number, 50), 0, 100, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(entry(10, 50), 0, 100, start, shedNumber), refusal_reason::Deadline);
        EXPECT_EQ(queue.push(entry(11, 60), 0, 100, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(entry(12, 50), 11, 0, start, shedNumber), refusal_reason::QueueFull);
        EXPECT_EQ(queue.removeExpired(start + milliseconds(100)).size(), 11U);
        EXPECT_EQ(queue.size(), 0U);
    }

    // Broken by a queue that goes by priority alone.
    TEST(requestQueue, KeepsAFloorForPatientRequests)
    {
        request_queue queue({ 4096, 20 });
        absl::optional<std::uint64_t> shedNumber;
        int patient = 0;
        for (std::uint64_t number = 0; number < 100; ++number)
            EXPECT_EQ(queue.push(entry(number, 1, true), 0, 0, start, shedNumber), absl::nullopt);
        for (std::uint64_t number = 1000; number < 2000; ++number) {
            EXPECT_EQ(queue.push(entry(number, 50), 0, 0, start, shedNumber), absl::nullopt);
            patient += queue.pop(always)->isPatient ? 1 : 0;
        }
        EXPECT_EQ(patient, 50);
    }

    TEST(requestQueue, PassesOverAServiceWithoutSlots)
    {
        request_queue queue;
        absl::optional<std::uint64_t> shedNumber;
        EXPECT_EQ(queue.push(entry(1, 50), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(entry(2, 1, true), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.pop([](const std::string& service) { return service == "reviews"; })->number, 2U);
    }

    // Each pushed request leaves the queue exactly once, by one way.
    RC_GTEST_PROP(requestQueue, LosesAndDoublesNothing, (std::uint32_t seed))
    {
        std::mt19937 random(seed);
        const auto below = [&random](int bound) {
            return std::uniform_int_distribution<int>(0, bound - 1)(random);
        };
        request_queue queue({ 8, 4 });
        std::set<std::uint64_t> waiting;
        auto now = start;
        for (std::uint64_t number = 0; number < 300; ++number) {
            now += milliseconds(below(20));
            auto request = entry(number, below(3), below(3) == 0);
            request.deadline = now + milliseconds(below(200));
            absl::optional<std::uint64_t> shedNumber;
            if (!queue.push(request, 6, below(2) * 50, now, shedNumber))
                waiting.insert(number);
            if (shedNumber)
                RC_ASSERT(waiting.erase(*shedNumber) == 1U);
            if (below(3) == 0) {
                if (const auto taken = queue.pop(always))
                    RC_ASSERT(waiting.erase(taken->number) == 1U);
            }
            for (const auto expired : queue.removeExpired(now))
                RC_ASSERT(waiting.erase(expired) == 1U);
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= 8U);
        }
    }

    TEST(concurrencyLimits, BoundCallersAndServices)
    {
        concurrency_limits limits;
        EXPECT_EQ(limits.acquire("s", "a", 2, 3), absl::nullopt);
        EXPECT_EQ(limits.acquire("s", "a", 2, 3), absl::nullopt);
        EXPECT_EQ(limits.acquire("s", "a", 2, 3), refusal_reason::CallerLimit);
        EXPECT_EQ(limits.acquire("s", "b", 2, 3), absl::nullopt);
        EXPECT_EQ(limits.acquire("s", "c", 2, 3), refusal_reason::QueueFull);
        limits.release("s", "a");
        EXPECT_EQ(limits.acquire("s", "c", 2, 3), absl::nullopt);
    }

} // namespace

} // namespace camphorsaddle::routing
