#include "tasks/coordinator/run_codec.h"

#include <algorithm>

#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // 100 years in ms; a worker's clock counts from its start or from 1970, its incarnation is a time since 1970.
    constexpr std::int64_t maximumTime = 100LL * 365 * 86'400'000;
    // Latency in ms or thousandths of a core.
    constexpr std::int64_t maximumLoad = 1'000'000'000'000;
    constexpr int maximumPercent = 100;

    bool isWithin(std::int64_t value, std::int64_t highest)
    {
        return value >= 0 && value <= highest;
    }

    bool isWithinBounds(const external::observation& state)
    {
        return isWithin(state.clock, maximumTime) && isWithin(state.incarnation, maximumTime) && std::ranges::all_of(state.running, [](const auto& report) { return isWithin(report.percent, maximumPercent) && isWithin(report.load, maximumLoad); });
    }

    void logOutOfBounds(absl::string_view step, const protocol::RunReply& source)
    {
        utils::logEvent(utils::events::peerAnswerUnreadable, { { "step", std::string(step) }, { "clock", std::to_string(source.clock()) }, { "life", std::to_string(source.life()) }, { "running", std::to_string(source.running_size()) }, { "error", "a relayed number is out of bounds" } });
    }

    external::order_outcome toOutcome(int number)
    {
        const bool isKnown = number >= 0 && number < static_cast<int>(external::orderOutcomeCount);
        return isKnown ? static_cast<external::order_outcome>(number) : external::order_outcome::NoAnswer;
    }

    external::end_cause toEndCause(int number)
    {
        const bool isKnown = number >= 0 && number < static_cast<int>(external::endCauseCount);
        return isKnown ? static_cast<external::end_cause>(number) : external::end_cause::Stopped;
    }

} // namespace

void writeRun(const external::run_id& run, protocol::RunName& target)
{
    target.set_job(run.task.job);
    target.set_step(run.task.step);
    target.set_index(run.task.index);
    target.set_number(run.number);
}

external::run_id readRun(const protocol::RunName& source)
{
    return { { source.job(), 0, source.step(), source.index() }, source.number() };
}

void writeReply(const external::order_reply& reply, protocol::RunReply& target)
{
    target.set_outcome(static_cast<int>(reply.outcome));
    target.set_clock(reply.clock);
}

void writeReply(const external::observe_reply& reply, protocol::RunReply& target)
{
    target.set_outcome(static_cast<int>(reply.outcome));
    target.set_clock(reply.workerState.clock);
    target.set_life(reply.workerState.incarnation);
    for (const auto& report : reply.workerState.running) {
        auto& row = *target.add_running();
        writeRun(report.run, *row.mutable_run());
        row.set_checkpoint(report.checkpoint);
        row.set_percent(report.percent);
        row.set_load(report.load);
    }
    for (const auto& end : reply.workerState.ended) {
        auto& row = *target.add_ended();
        row.set_number(end.number);
        writeRun(end.run, *row.mutable_run());
        row.set_cause(static_cast<int>(end.cause));
        row.set_checkpoint(end.checkpoint);
    }
}

external::order_reply readOrderReply(const protocol::RunReply& source)
{
    if (isWithin(source.clock(), maximumTime))
        return { toOutcome(source.outcome()), source.clock() };
    logOutOfBounds("relayed reply", source);
    return { toOutcome(source.outcome()), 0 };
}

external::observe_reply readObserveReply(const protocol::RunReply& source)
{
    external::observe_reply reply { toOutcome(source.outcome()), { source.clock(), source.life(), {}, {} } };
    for (const auto& row : source.running())
        reply.workerState.running.push_back({ readRun(row.run()), row.checkpoint(), row.percent(), row.load() });
    for (const auto& row : source.ended())
        reply.workerState.ended.push_back({ row.number(), readRun(row.run()), toEndCause(row.cause()), row.checkpoint() });
    if (!isWithinBounds(reply.workerState)) {
        logOutOfBounds("relayed report", source);
        return { external::order_outcome::Malformed, {} };
    }
    return reply;
}

} // namespace camphorsaddle::tasks
