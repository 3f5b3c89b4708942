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
        return isWithin(state.clock, maximumTime) && isWithin(state.incarnation, maximumTime) && std::ranges::all_of(state.running, [](const auto& report) { return isWithin(report.percent, maximumPercent) && isWithin(report.load, maximumLoad) && isWithin(report.pace.value_or(0), maximumPercent); });
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

void writeTraits(const external::run_traits& traits, protocol::RunTraits& target)
{
    target.set_target_ms(traits.latencyTarget.count());
    target.set_best_effort(traits.isBestEffort);
}

external::run_traits readTraits(const protocol::RunTraits& source)
{
    if (isWithin(source.target_ms(), maximumLoad))
        return { utils::milliseconds(source.target_ms()), source.best_effort() };
    utils::logEvent(utils::events::peerMessageDropped, { { "reason", "a latency target is out of bounds" }, { "target_ms", std::to_string(source.target_ms()) } });
    return { utils::milliseconds(0), source.best_effort() };
}

std::uint64_t readFence(const protocol::RunOrder& source)
{
    return source.fence() + source.fence_raise();
}

external::observe_order readObserveOrder(const protocol::RunOrder& source)
{
    external::observe_order order { source.acknowledged_end(), readFence(source), source.lease_end(), utils::milliseconds(source.wait_ms()), {} };
    for (const auto& described : source.described())
        order.described.push_back({ readRun(described.run()), readTraits(described.traits()) });
    return order;
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
        if (report.pace)
            row.set_pace(*report.pace);
    }
    target.set_needs_descriptions(reply.needsDescriptions);
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
    external::observe_reply reply { toOutcome(source.outcome()), { source.clock(), source.life(), {}, {} }, false, source.needs_descriptions() };
    for (const auto& row : source.running())
        reply.workerState.running.push_back({ readRun(row.run()), row.checkpoint(), row.percent(), row.load(), row.has_pace() ? std::optional(row.pace()) : std::nullopt });
    for (const auto& row : source.ended())
        reply.workerState.ended.push_back({ row.number(), readRun(row.run()), toEndCause(row.cause()), row.checkpoint() });
    if (!isWithinBounds(reply.workerState)) {
        logOutOfBounds("relayed report", source);
        return { external::order_outcome::Malformed, {} };
    }
    return reply;
}

} // namespace camphorsaddle::tasks
