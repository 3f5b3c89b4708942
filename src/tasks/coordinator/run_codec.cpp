#include "tasks/coordinator/run_codec.h"

namespace camphorsaddle::tasks {

namespace {

    external::order_outcome outcomeOf(int number)
    {
        const bool isKnown = number >= 0 && number < static_cast<int>(external::orderOutcomeCount);
        return isKnown ? static_cast<external::order_outcome>(number) : external::order_outcome::NoAnswer;
    }

    external::end_cause causeOf(int number)
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
    target.set_life(reply.workerState.life);
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
    return { outcomeOf(source.outcome()), source.clock() };
}

external::observe_reply readObserveReply(const protocol::RunReply& source)
{
    external::observe_reply reply { outcomeOf(source.outcome()), { source.clock(), source.life(), {}, {} } };
    for (const auto& row : source.running())
        reply.workerState.running.push_back({ readRun(row.run()), row.checkpoint(), row.percent(), row.load() });
    for (const auto& row : source.ended())
        reply.workerState.ended.push_back({ row.number(), readRun(row.run()), causeOf(row.cause()), row.checkpoint() });
    return reply;
}

} // namespace camphorsaddle::tasks
