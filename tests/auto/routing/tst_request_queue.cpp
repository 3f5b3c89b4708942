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

    waiting_request makeRequest(std::uint64_t number, int priority, bool isPatient = false)
    {
        return { number, isPatient ? "reviews" : "renewals", "caller", priority, isPatient, start + milliseconds(100) };
    }

    bool acceptAnyService(const std::string&)
    {
        return true;
    }

    TEST(requestQueue, ShedsTheLowestPriorityFirst)
    {
        request_queue queue({ 2, 20 });
        absl::optional<std::uint64_t> shedNumber;
        EXPECT_EQ(queue.push(makeRequest(1, 10), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(makeRequest(2, 20), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(makeRequest(3, 10), 0, 0, start, shedNumber), refusal_reason::QueueFull);
        EXPECT_EQ(queue.push(makeRequest(4, 30), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(shedNumber, absl::optional<std::uint64_t>(1));
        EXPECT_EQ(queue.pop(acceptAnyService)->number, 4U);
        EXPECT_EQ(queue.pop(acceptAnyService)->number, 2U);
        EXPECT_EQ(queue.pop(acceptAnyService), absl::nullopt);
    }

    TEST(requestQueue, RefusesRequestsThatWouldMissTheirDeadline)
    {
        request_queue queue;
        absl::optional<std::uint64_t> shedNumber;
        for (std::uint64_t number = 0; number < 10; ++number)
            EXPECT_EQ(queue.push(makeRequest(number, 50), 0, 100, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(makeRequest(10, 50), 0, 100, start, shedNumber), refusal_reason::Deadline);
        EXPECT_EQ(queue.push(makeRequest(11, 60), 0, 100, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(makeRequest(12, 50), 11, 0, start, shedNumber), refusal_reason::QueueFull);
        EXPECT_EQ(queue.removeExpired(start + milliseconds(100)).size(), 11U);
        EXPECT_EQ(queue.size(), 0U);
    }

    // Fails if the queue considers only the priority.
    TEST(requestQueue, ReservesStartsForPatientRequests)
    {
        request_queue queue({ 4096, 20 });
        absl::optional<std::uint64_t> shedNumber;
        int patient = 0;
        for (std::uint64_t number = 0; number < 100; ++number)
            EXPECT_EQ(queue.push(makeRequest(number, 1, true), 0, 0, start, shedNumber), absl::nullopt);
        for (std::uint64_t number = 1000; number < 2000; ++number) {
            EXPECT_EQ(queue.push(makeRequest(number, 50), 0, 0, start, shedNumber), absl::nullopt);
            patient += queue.pop(acceptAnyService)->isPatient ? 1 : 0;
        }
        EXPECT_EQ(patient, 50);
    }

    TEST(requestQueue, SkipsAServiceWithoutSlots)
    {
        request_queue queue;
        absl::optional<std::uint64_t> shedNumber;
        EXPECT_EQ(queue.push(makeRequest(1, 50), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.push(makeRequest(2, 1, true), 0, 0, start, shedNumber), absl::nullopt);
        EXPECT_EQ(queue.pop([](const std::string& service) { return service == "reviews"; })->number, 2U);
    }

    // Each request leaves the queue exactly once: sent, shed or expired.
    RC_GTEST_PROP(requestQueue, RemovesEachRequestExactlyOnce, (std::uint32_t seed))
    {
        std::mt19937 random(seed);
        const auto randomBelow = [&random](int bound) {
            return std::uniform_int_distribution<int>(0, bound - 1)(random);
        };
        request_queue queue({ 8, 4 });
        std::set<std::uint64_t> waiting;
        auto now = start;
        for (std::uint64_t number = 0; number < 300; ++number) {
            now += milliseconds(randomBelow(20));
            auto request = makeRequest(number, randomBelow(3), randomBelow(3) == 0);
            request.deadline = now + milliseconds(randomBelow(200));
            absl::optional<std::uint64_t> shedNumber;
            if (!queue.push(request, 6, randomBelow(2) * 50, now, shedNumber))
                waiting.insert(number);
            if (shedNumber)
                RC_ASSERT(waiting.erase(*shedNumber) == 1U);
            if (randomBelow(3) == 0) {
                if (const auto taken = queue.pop(acceptAnyService))
                    RC_ASSERT(waiting.erase(taken->number) == 1U);
            }
            for (const auto expired : queue.removeExpired(now))
                RC_ASSERT(waiting.erase(expired) == 1U);
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= 8U);
        }
    }

    TEST(concurrencyLimits, LimitsCallersAndServices)
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
