#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_engine.h"
#include "jobs/simulated_fleet.h"

namespace camphorsaddle::jobs::test {

//! The leader, and worker w0 of which the test gives the replies. Worker w1 always answers at once.
class replying_worker {
public:
    explicit replying_worker(std::function<void(const engine_event&)> onEvent = [](const engine_event&) {})
        : m_engine({}, term, std::move(onEvent))
    {
        m_engine.setRules(std::make_shared<const deployment_rules>(defaultRules()));
        m_engine.beginTerm({}, m_now);
        m_engine.announceWorker(description("w0"), m_now);
        decide();
        answer(*takeObservation(), 1, {});
        m_engine.markRosterStored(m_engine.roster());
    }

    static worker_description description(const std::string& id)
    {
        return { id, "address of " + id, "service", "dc", "rack", { "a" }, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), firstIncarnation };
    }

    job_engine& engine()
    {
        return m_engine;
    }
    utils::time_point now() const
    {
        return m_now;
    }
    const worker_state& state() const
    {
        return *m_engine.workers().at("w0");
    }
    //! Number of starts on w1.
    std::size_t startsElsewhere() const
    {
        return m_runsElsewhere.size();
    }

    void addOtherWorker()
    {
        m_engine.announceWorker(description("w1"), m_now);
        m_engine.markRosterStored(m_engine.roster());
    }

    //! Decides after the given time, and keeps the orders to w0.
    void decide(utils::milliseconds delay = utils::milliseconds(10))
    {
        m_now += delay;
        m_engine.confirmDirectory(m_now);
        m_engine.confirmCancellations(m_now);
        for (const auto& command : m_engine.decideCommands(m_now)) {
            const auto* observe = std::get_if<observe_command>(&command);
            const auto* start = std::get_if<start_command>(&command);
            const auto* stop = std::get_if<stop_command>(&command);
            if (observe != nullptr && observe->worker.id == "w1")
                m_engine.handleObserveReply("w1", *observe, reportOf(firstIncarnation, m_runsElsewhere, clockAt(m_now)), m_now, m_now);
            else if (observe != nullptr)
                m_observations.push_back(*observe);
            else if (start != nullptr && start->worker.id == "w0")
                m_starts.push_back(*start);
            else if (start != nullptr)
                acceptElsewhere(*start);
            else if (stop != nullptr && stop->worker.id == "w0")
                m_stops.push_back(*stop);
        }
    }

    std::optional<observe_command> takeObservation()
    {
        return take(m_observations);
    }
    std::optional<start_command> takeStart()
    {
        return take(m_starts);
    }
    std::optional<stop_command> takeStop()
    {
        return take(m_stops);
    }

    external::worker_time clockAt(utils::time_point at) const
    {
        return std::chrono::duration_cast<utils::milliseconds>(at - m_origin).count();
    }

    //! Has the leader handle the reply to an observation, given by the worker now unless \a clock says otherwise.
    void answer(const observe_command& observation, std::int64_t incarnation, const std::vector<external::run_id>& running, std::vector<external::run_end> ended = {}, external::worker_time clock = 0)
    {
        auto reply = reportOf(incarnation, running, clock == 0 ? clockAt(m_now) : clock);
        reply.workerState.ended = std::move(ended);
        m_engine.handleObserveReply("w0", observation, reply, observation.decidedAt, m_now);
    }
    //! The same for a report without runs that the worker gave at an earlier time.
    void answerLate(const observe_command& observation, utils::time_point givenAt, bool isPastTimeLimit, const external::run_end& end)
    {
        auto reply = reportOf(firstIncarnation, {}, clockAt(givenAt));
        reply.isLate = isPastTimeLimit;
        reply.workerState.ended.push_back(end);
        m_engine.handleObserveReply("w0", observation, reply, observation.decidedAt, m_now);
    }
    void fail(const observe_command& observation, external::order_outcome outcome)
    {
        m_engine.handleObserveReply("w0", observation, { outcome, {} }, observation.decidedAt, m_now);
    }
    void confirmStop(const external::run_id& run)
    {
        const auto& known = state();
        m_engine.handleStopReply({ { "w0", known.description.endpoint }, run, processOf(known), known.fence }, { external::order_outcome::Accepted, clockAt(m_now) }, m_now);
    }
    //! Decides until the condition holds; returns false if it doesn't within some seconds.
    bool decideUntil(const std::function<bool()>& condition)
    {
        constexpr unsigned decisionLimit = 500;
        for (unsigned decision = 0; decision < decisionLimit; ++decision) {
            if (condition())
                return true;
            decide();
        }
        return false;
    }
    void reply(const start_command& start, external::order_outcome outcome, std::optional<utils::time_point> sentAt = {})
    {
        m_engine.handleStartReply("w0", start.order.run, { outcome, outcome == external::order_outcome::Accepted ? clockAt(m_now) : 0 }, sentAt.value_or(m_now), m_now);
    }

    static constexpr std::int64_t firstIncarnation = 1;
    static constexpr std::uint64_t term = fencesPerTerm;

private:
    // Progress of a service task that serves.
    static constexpr int servingPercent = 100;

    static external::observe_reply reportOf(std::int64_t incarnation, const std::vector<external::run_id>& running, external::worker_time clock)
    {
        external::observe_reply reply { external::order_outcome::Accepted, { clock, incarnation, {}, {} } };
        for (const auto& run : running)
            reply.workerState.running.push_back({ run, "", servingPercent, 0, {} });
        return reply;
    }

    void acceptElsewhere(const start_command& start)
    {
        m_runsElsewhere.push_back(start.order.run);
        m_engine.handleStartReply("w1", start.order.run, { external::order_outcome::Accepted, clockAt(m_now) }, m_now, m_now);
    }

    template <typename T>
    static std::optional<T> take(std::deque<T>& commands)
    {
        if (commands.empty())
            return std::nullopt;
        const auto first = commands.front();
        commands.pop_front();
        return first;
    }

    const utils::time_point m_origin = utils::time_point() + std::chrono::hours(1);
    utils::time_point m_now = m_origin + utils::milliseconds(1000);
    job_engine m_engine;
    std::deque<observe_command> m_observations;
    std::deque<start_command> m_starts;
    std::deque<stop_command> m_stops;
    std::vector<external::run_id> m_runsElsewhere;
};

} // namespace camphorsaddle::jobs::test
