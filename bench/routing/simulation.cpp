#include "bench/routing/simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>

#include "absl/strings/str_cat.h"
#include "routing/minion_choice.h"
#include "routing/minion_health.h"
#include "routing/request_attempts.h"
#include "routing/request_queue.h"
#include "routing/retry_policy.h"
#include "routing/slot_grants.h"
#include "utils/hashing.h"

namespace camphorsaddle::bench {

namespace {

    using utils::microseconds;
    using utils::milliseconds;
    using utils::time_point;

    constexpr int gatewayCount = 7;
    constexpr int minionCount = 50;
    constexpr int slotCount = 8;
    constexpr double meanServiceSeconds = 0.02;
    constexpr double serviceTimeSigma = 0.5;
    //! Requests per second.
    constexpr double capacity = minionCount * slotCount / meanServiceSeconds;
    constexpr milliseconds exchangeInterval { 25 };
    constexpr milliseconds warmUpTime { 6000 };
    constexpr milliseconds faultStart { 10000 };
    constexpr milliseconds faultEnd { 13000 };
    constexpr milliseconds renewalDeadline { 500 };
    constexpr milliseconds reviewDeadline { 2000 };
    constexpr milliseconds failureDelay { 2 };
    //! Slots demanded beyond the average in use, as a multiple of its square root.
    constexpr double spareSlotFactor = 1.5;
    //! Weight of the newest count in the moving average of the slots in use.
    constexpr double averageSmoothingFactor = 0.1;

    struct request {
        int gateway = 0;
        bool isRenewal = false;
        //! Whether the request arrived after the warm-up and counts in the results.
        bool isCounted = false;
        time_point arrivedAt;
        routing::request_attempts attempts;
        std::vector<std::string> triedMinions;
        int runCount = 0;
    };

    struct minion {
        bool hasFailed = false;
        int running = 0;
        std::deque<std::function<void()>> waiting;
    };

    struct gateway {
        explicit gateway(double budget)
            : budget(budget > 0 ? budget : 1e6, budget > 0 ? 10 : 1e9)
        {
        }

        std::vector<routing::minion_candidate> candidates;
        std::vector<routing::slot_requester> requesters;
        std::vector<routing::slot_allocator> allocators;
        routing::minion_health health;
        routing::request_queue queue;
        routing::retry_budget budget;
        int inFlight = 0;
        int startCount = 0;
        double startsPerSecond = 0;
        double averageInUse = 1;
        std::size_t nextMinionIndex = 0;
    };

    class simulation {
    public:
        explicit simulation(const scenario& parameters)
            : m_scenario(parameters)
            , m_random(parameters.seed)
            , m_minions(minionCount)
        {
            std::vector<std::string> names;
            names.reserve(gatewayCount);
            for (int index = 0; index < gatewayCount; ++index)
                names.push_back(absl::StrCat("gateway-", index));
            for (int index = 0; index < minionCount; ++index)
                m_allocatorOf.push_back(static_cast<int>(std::find(names.begin(), names.end(), routing::slotAllocatorOf(absl::StrCat("minion-", index), names)) - names.begin()));
            for (int index = 0; index < gatewayCount; ++index)
                addGateway(index);
        }

        run_result run()
        {
            schedule(m_startTime, [this] { handleArrival(); });
            schedule(m_startTime, [this] { tick(); });
            if (m_scenario.failingMinionCount > 0)
                schedule(m_startTime + faultStart, [this] { failMinions(); });
            const auto end = m_startTime + m_scenario.duration + 2 * reviewDeadline;
            while (!m_events.empty() && m_events.top().time <= end) {
                auto next = m_events.top();
                m_events.pop();
                m_now = next.time;
                next.action();
            }
            return collectResult();
        }

    private:
        struct event {
            time_point time;
            std::uint64_t number = 0;
            std::function<void()> action;

            bool operator<(const event& other) const
            {
                return std::tie(other.time, other.number) < std::tie(time, number);
            }
        };

        void schedule(time_point time, std::function<void()> action)
        {
            m_events.push({ time, m_nextEventNumber++, std::move(action) });
        }
        double uniformRandom()
        {
            return std::uniform_real_distribution<double>(0, 1)(m_random);
        }
        bool isAcceptingRequests() const
        {
            return m_now < m_startTime + m_scenario.duration;
        }
        bool isInOutage() const
        {
            return m_scenario.hasOutage && m_now >= m_startTime + faultStart && m_now < m_startTime + faultEnd;
        }
        bool isInRecoveryPhase() const
        {
            return m_now >= m_startTime + faultEnd + milliseconds(1000) && m_now < m_startTime + faultEnd + milliseconds(2000);
        }

        void addGateway(int index)
        {
            gateway added(m_scenario.retryBudget);
            for (int number = 0; number < minionCount; ++number) {
                routing::minion_candidate candidate;
                candidate.host.id = absl::StrCat("minion-", number);
                candidate.usableSlots = initialSlots(index, number);
                added.health.add(candidate.host.id);
                added.candidates.push_back(candidate);
                added.requesters.emplace_back(routing::slot_grant_options());
                added.allocators.emplace_back(slotCount, routing::slot_grant_options(), utils::stableHash(candidate.host.id));
            }
            m_gateways.push_back(std::move(added));
        }

        int initialSlots(int gateway, int minion) const
        {
            switch (m_scenario.sharing) {
            case slot_sharing::Equal:
                return slotCount / gatewayCount;
            case slot_sharing::Subsets:
                return minion % gatewayCount == gateway ? slotCount : 0;
            case slot_sharing::Unrestricted:
                return slotCount;
            default:
                return 0;
            }
        }

        void handleArrival()
        {
            if (!isAcceptingRequests())
                return;
            schedule(m_now + std::chrono::nanoseconds(std::llround(-std::log(1 - uniformRandom()) / (capacity * m_scenario.load) * 1e9)), [this] { handleArrival(); });
            const std::vector<double> even(gatewayCount, 1);
            const auto& gatewayShares = m_scenario.gatewayShares.empty() ? even : m_scenario.gatewayShares;
            const int index = std::discrete_distribution<int>(gatewayShares.begin(), gatewayShares.end())(m_random);
            const bool isRenewal = uniformRandom() < m_scenario.renewalShare;
            const auto number = m_nextRequestNumber++;
            const bool isCounted = m_now >= m_startTime + warmUpTime;
            auto& added = m_requests.emplace(number, request { index, isRenewal, isCounted, m_now, { isRenewal, m_now + (isRenewal ? renewalDeadline : reviewDeadline) }, {}, 0 }).first->second;
            added.attempts.admit();
            m_result.requests += isCounted ? 1 : 0;
            m_renewalCount += isCounted && isRenewal ? 1 : 0;
            m_outageRequests += isInOutage() ? 1 : 0;
            m_gateways[static_cast<std::size_t>(index)].budget.countRequest();
            schedule(added.attempts.deadline(), [this, number] { handleDeadline(number); });
            sendOrQueue(number);
        }

        // Sends the request if a slot is free and no other request waits; otherwise queues it.
        void sendOrQueue(std::uint64_t number)
        {
            auto& waiting = m_requests.at(number);
            auto& self = m_gateways[static_cast<std::size_t>(waiting.gateway)];
            const int minionIndex = self.queue.size() > 0 ? -1 : choose(self, waiting.triedMinions);
            if (minionIndex >= 0) {
                send(number, minionIndex);
                return;
            }
            absl::optional<std::uint64_t> shedNumber;
            const auto refusal = self.queue.push({ number, "service", "caller", waiting.isRenewal ? 90 : 10, !waiting.isRenewal, waiting.attempts.deadline() },
                0, self.startsPerSecond, m_now, shedNumber);
            if (shedNumber)
                recordOutcome(*shedNumber, m_requests.at(*shedNumber).attempts.onRefusal());
            if (refusal)
                recordOutcome(number, waiting.attempts.onRefusal());
        }

        int choose(gateway& self, const std::vector<std::string>& triedMinions)
        {
            if (m_scenario.selection == minion_selection::RoundRobin)
                return static_cast<int>(self.nextMinionIndex++ % minionCount);
            if (m_scenario.selection == minion_selection::Random)
                return static_cast<int>(uniformRandom() * minionCount);
            const auto* chosen = routing::chooseMinion(self.candidates, m_location, triedMinions, m_random);
            return chosen == nullptr ? -1 : static_cast<int>(chosen - self.candidates.data());
        }

        void sendWaiting(gateway& self)
        {
            while (self.queue.size() > 0) {
                const int minionIndex = choose(self, {});
                if (minionIndex < 0)
                    return;
                const auto next = self.queue.pop([](const std::string&) { return true; });
                send(next->number, minionIndex);
            }
        }

        void send(std::uint64_t number, int minionIndex)
        {
            auto& sent = m_requests.at(number);
            auto& self = m_gateways[static_cast<std::size_t>(sent.gateway)];
            auto& target = m_minions[static_cast<std::size_t>(minionIndex)];
            const int attempt = sent.attempts.beginAttempt();
            sent.triedMinions.push_back(self.candidates[static_cast<std::size_t>(minionIndex)].host.id);
            ++self.candidates[static_cast<std::size_t>(minionIndex)].inFlight;
            ++self.inFlight;
            ++self.startCount;
            m_result.sentAttempts += sent.isCounted ? 1 : 0;
            m_outageAttempts += isInOutage() ? 1 : 0;
            if (target.hasFailed || isInOutage()) {
                const auto failure = target.hasFailed ? routing::attempt_failure::NeverSent : routing::attempt_failure::Lost;
                schedule(m_now + failureDelay, [this, number, attempt, minionIndex, failure, sentAt = m_now] { handleResult(number, attempt, minionIndex, failure, false, sentAt); });
                return;
            }
            ++sent.runCount;
            m_result.overfilledShare += sent.isCounted && target.running + static_cast<int>(target.waiting.size()) >= slotCount ? 1 : 0;
            auto start = [this, number, attempt, minionIndex, sentAt = m_now] {
                runOnMinion(number, attempt, minionIndex, sentAt);
            };
            if (target.running < slotCount)
                start();
            else
                target.waiting.emplace_back(std::move(start));
        }

        void runOnMinion(std::uint64_t number, int attempt, int minionIndex, time_point sentAt)
        {
            ++m_minions[static_cast<std::size_t>(minionIndex)].running;
            std::lognormal_distribution<double> times(std::log(meanServiceSeconds) - serviceTimeSigma * serviceTimeSigma / 2, serviceTimeSigma);
            const double time = times(m_random) * (minionIndex == 0 ? m_scenario.slowMinionFactor : 1);
            schedule(m_now + std::chrono::nanoseconds(std::llround(time * 1e9)), [this, number, attempt, minionIndex, sentAt] {
                auto& assignedMinion = m_minions[static_cast<std::size_t>(minionIndex)];
                if (assignedMinion.hasFailed) {
                    handleResult(number, attempt, minionIndex, routing::attempt_failure::Lost, false, sentAt);
                    return;
                }
                --assignedMinion.running;
                if (!assignedMinion.waiting.empty()) {
                    const auto start = std::move(assignedMinion.waiting.front());
                    assignedMinion.waiting.pop_front();
                    start();
                }
                handleResult(number, attempt, minionIndex, {}, true, sentAt);
            });
        }

        void handleResult(std::uint64_t number, int attempt, int minionIndex, routing::attempt_failure failure, bool hasResponse, time_point sentAt)
        {
            auto& ended = m_requests.at(number);
            auto& self = m_gateways[static_cast<std::size_t>(ended.gateway)];
            auto& candidate = self.candidates[static_cast<std::size_t>(minionIndex)];
            --candidate.inFlight;
            --self.inFlight;
            routing::ejection_reason reason {};
            const bool isEjected = hasResponse ? self.health.onResponse(candidate.host.id, std::chrono::duration_cast<milliseconds>(m_now - sentAt), m_now, reason)
                                               : self.health.onFailure(candidate.host.id, m_now, reason);
            m_result.ejections += isEjected ? 1 : 0;
            refreshCandidate(self, static_cast<std::size_t>(minionIndex));
            if (m_scenario.retryBudget > 0)
                self.budget.countAttempt(!hasResponse);
            if (hasResponse)
                recordOutcome(number, ended.attempts.onResponse(attempt));
            else
                handleFailure(number, attempt, failure);
            sendWaiting(self);
        }

        void handleFailure(std::uint64_t number, int attempt, routing::attempt_failure failure)
        {
            auto& failed = m_requests.at(number);
            auto& self = m_gateways[static_cast<std::size_t>(failed.gateway)];
            const auto delay = routing::retryDelay({}, failed.attempts.attemptCount(), m_now, failed.attempts.deadline(), m_random);
            const bool mayRetry = delay && (failed.attempts.isRepeatable() || failure == routing::attempt_failure::NeverSent) && self.budget.tryConsume();
            const auto action = failed.attempts.onFailure(attempt, failure, mayRetry, m_now);
            if (action == routing::request_action::Retry) {
                schedule(m_now + *delay, [this, number] {
                    if (m_requests.at(number).attempts.maySend(m_now))
                        sendOrQueue(number);
                });
                return;
            }
            recordOutcome(number, action);
        }

        void handleDeadline(std::uint64_t number)
        {
            auto& expired = m_requests.at(number);
            m_gateways[static_cast<std::size_t>(expired.gateway)].queue.remove(number);
            recordOutcome(number, expired.attempts.onDeadline());
        }

        void recordOutcome(std::uint64_t number, routing::request_action action)
        {
            const auto& ended = m_requests.at(number);
            if (action == routing::request_action::ForwardResponse && isInRecoveryPhase())
                m_answeredAfterOutage += 1;
            if (!ended.isCounted)
                return;
            m_result.notRun += action == routing::request_action::ReportNotRun ? 1 : 0;
            m_result.unknown += action == routing::request_action::ReportUnknown ? 1 : 0;
            if (action != routing::request_action::ForwardResponse)
                return;
            m_result.answered += 1;
            if (ended.isRenewal)
                m_latencies.push_back(std::chrono::duration<double, std::milli>(m_now - ended.arrivedAt).count());
            else
                m_answeredReviews += 1;
        }

        void failMinions()
        {
            for (int index = 1; index <= m_scenario.failingMinionCount; ++index) {
                auto& failed = m_minions[static_cast<std::size_t>(index)];
                failed.hasFailed = true;
                // The requests that wait at the minion are lost.
                for (const auto& start : failed.waiting)
                    start();
                failed.waiting.clear();
            }
        }

        void refreshCandidate(gateway& self, std::size_t index)
        {
            auto& candidate = self.candidates[index];
            if (m_scenario.sharing == slot_sharing::Allocators)
                candidate.usableSlots = self.requesters[index].usableSlots(m_now);
            candidate.weight = self.health.weight(candidate.host.id, m_now);
            candidate.latency = self.health.latency(candidate.host.id);
        }

        void tick()
        {
            if (m_now >= m_startTime + m_scenario.duration + reviewDeadline)
                return;
            for (int index = 0; index < gatewayCount; ++index) {
                auto& self = m_gateways[static_cast<std::size_t>(index)];
                self.averageInUse += averageSmoothingFactor * (self.inFlight + static_cast<double>(self.queue.size()) - self.averageInUse);
                self.startsPerSecond += 0.1 * (self.startCount / std::chrono::duration<double>(exchangeInterval).count() - self.startsPerSecond);
                self.startCount = 0;
                if (m_scenario.sharing == slot_sharing::Allocators)
                    exchangeSlots(index);
                for (std::size_t number = 0; number < minionCount; ++number)
                    refreshCandidate(self, number);
                sendWaiting(self);
            }
            schedule(m_now + exchangeInterval, [this] { tick(); });
        }

        // One message carries all demands for an allocator, another one its grants.
        void exchangeSlots(int index)
        {
            auto& self = m_gateways[static_cast<std::size_t>(index)];
            const double wanted = std::min<double>(self.averageInUse + spareSlotFactor * std::sqrt(self.averageInUse), minionCount * slotCount) / minionCount;
            std::map<int, std::vector<std::pair<std::size_t, routing::slot_demand>>> batches;
            for (std::size_t number = 0; number < minionCount; ++number) {
                const int allocator = m_allocatorOf[number];
                self.allocators[number].confirmView(allocator == index, m_now, m_now);
                // Fractions of a slot are distributed over the minions in the same way each time.
                const double roundingOffset = (static_cast<double>((number * gatewayCount + static_cast<std::size_t>(index) * gatewayCount) % minionCount) + 0.5) / minionCount;
                const auto slots = static_cast<int>(wanted + roundingOffset);
                batches[allocator].emplace_back(number, self.requesters[number].makeDemand(self.candidates[number].inFlight, slots, m_now));
            }
            for (auto& [allocator, batch] : batches) {
                const auto delay = allocator == index ? microseconds(0) : m_scenario.peerDelay;
                m_result.messagesPerRequest += allocator != index && m_now >= m_startTime + warmUpTime && isAcceptingRequests() ? 2 : 0;
                schedule(m_now + delay, [this, index, allocator = allocator, batch = std::move(batch), delay] { answerDemands(index, allocator, batch, delay); });
            }
        }

        void answerDemands(int index, int allocator, const std::vector<std::pair<std::size_t, routing::slot_demand>>& batch, microseconds delay)
        {
            std::vector<std::pair<std::size_t, routing::slot_grant>> grants;
            for (const auto& [number, demand] : batch) {
                if (const auto grant = m_gateways[static_cast<std::size_t>(allocator)].allocators[number].answerDemand(absl::StrCat(index), demand, m_now))
                    grants.emplace_back(number, *grant);
            }
            schedule(m_now + delay, [this, index, grants = std::move(grants)] {
                auto& self = m_gateways[static_cast<std::size_t>(index)];
                for (const auto& [number, grant] : grants) {
                    self.requesters[number].acceptGrant(grant, m_now);
                    refreshCandidate(self, number);
                }
                sendWaiting(self);
            });
        }

        run_result collectResult()
        {
            for (const auto& [number, ended] : m_requests) {
                m_result.unanswered += ended.attempts.isFinished() ? 0 : 1;
                m_result.requestsRunTwice += !ended.isRenewal && ended.runCount > 1 ? 1 : 0;
            }
            std::sort(m_latencies.begin(), m_latencies.end());
            const auto quantile = [this](double share) {
                return m_latencies.empty() ? 0 : m_latencies[static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1))];
            };
            const double seconds = std::chrono::duration<double>(m_scenario.duration - warmUpTime).count();
            m_result.p50Milliseconds = quantile(0.5);
            m_result.p99Milliseconds = quantile(0.99);
            m_result.overfilledShare /= std::max(1.0, m_result.sentAttempts);
            m_result.messagesPerRequest /= std::max(1.0, m_result.requests);
            m_result.renewalsInTimeShare = static_cast<double>(m_latencies.size()) / std::max(1.0, m_renewalCount);
            m_result.goodput = m_result.answered / seconds / capacity;
            m_result.reviewGoodput = m_answeredReviews / seconds / capacity;
            m_result.sentAttemptsPerRequestInOutage = m_outageAttempts / std::max(1.0, m_outageRequests);
            m_result.recoveredShare = m_answeredAfterOutage / (capacity * m_scenario.load);
            return m_result;
        }

        scenario m_scenario;
        routing::random_generator m_random;
        routing::gateway_location m_location;
        const time_point m_startTime { milliseconds(1000000) };
        time_point m_now = m_startTime;
        std::priority_queue<event> m_events;
        std::uint64_t m_nextEventNumber = 0;
        std::vector<gateway> m_gateways;
        std::vector<minion> m_minions;
        std::vector<int> m_allocatorOf;
        std::map<std::uint64_t, request> m_requests;
        std::uint64_t m_nextRequestNumber = 1;
        std::vector<double> m_latencies;
        double m_renewalCount = 0;
        double m_answeredReviews = 0;
        double m_outageRequests = 0;
        double m_outageAttempts = 0;
        double m_answeredAfterOutage = 0;
        run_result m_result;
    };

} // namespace

run_result simulate(const scenario& scenario)
{
    return simulation(scenario).run();
}

} // namespace camphorsaddle::bench
