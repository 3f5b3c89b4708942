#include "tasks/coordinator/rules_codec.h"

#include <algorithm>

#include "utils/errors.h"

namespace camphorsaddle::tasks {

namespace {

    // A year and 100 years in ms.
    constexpr std::int64_t maximumDuration = 365LL * 86'400'000;
    constexpr std::int64_t maximumUptime = 100 * maximumDuration;
    constexpr double maximumSlackFactor = 1'000'000;
    constexpr double maximumDurationRatio = 1'000'000;
    constexpr std::uint64_t maximumBodyBytes = 1 << 30;

} // namespace

void writeRulesChange(const jobs::rules_change& change, protocol::RulesUpdate& target)
{
    target.set_from_revision(change.from);
    target.set_revision(change.to);
    target.set_version(change.version);
    target.set_body_limit(change.bodyLimit);
    for (const auto& queue : change.changed) {
        auto& message = *target.add_changed();
        message.set_name(queue.name);
        message.set_host(queue.host);
        message.set_prefix(queue.prefix);
        message.set_service(queue.service);
        message.set_priority(queue.priority);
        message.set_max_attempts(queue.maxAttempts);
        message.set_slack_factor(queue.slackFactor);
        message.set_target_latency_ms(queue.targetLatency.count());
        message.set_timeout_ms(queue.timeout.count());
        message.set_needs_advice(queue.needsExternalPlacement);
        message.set_workers_reject_overload(queue.workersRejectOverload);
    }
    for (const auto& name : change.removed)
        target.add_removed(name);
}

absl::Status checkRulesUpdate(const protocol::RulesUpdate& source)
{
    const auto isDuration = [](std::int64_t milliseconds) {
        return milliseconds >= 0 && milliseconds <= maximumDuration;
    };
    const auto isSound = [&](const auto& queue) {
        return isDuration(queue.target_latency_ms()) && isDuration(queue.timeout_ms()) && queue.priority() >= 0 && queue.slack_factor() >= 0 && queue.slack_factor() <= maximumSlackFactor;
    };
    const bool areTimesSound = isDuration(source.age_ms()) && source.hello_us() >= 0 && source.hello_us() / 1000 <= maximumUptime;
    if (!areTimesSound || source.body_limit() > maximumBodyBytes || !std::ranges::all_of(source.changed(), isSound))
        return utils::makeError(absl::StatusCode::kInvalidArgument, "read rules", "leader", "a number of the change is out of bounds");
    return absl::OkStatus();
}

jobs::rules_change readRulesChange(const protocol::RulesUpdate& source)
{
    jobs::rules_change change { source.from_revision(), source.revision(), source.version(), source.body_limit(), {}, { source.removed().begin(), source.removed().end() } };
    for (const auto& message : source.changed()) {
        change.changed.push_back({ message.name(), message.host(), message.prefix(), message.service(), message.priority(), message.max_attempts(), message.slack_factor(),
            utils::milliseconds(message.target_latency_ms()), utils::milliseconds(message.timeout_ms()), message.needs_advice(), message.workers_reject_overload() });
    }
    return change;
}

void writeForecast(const jobs::published_forecast& forecast, utils::time_point now, protocol::RulesUpdate& target)
{
    auto& message = *target.mutable_forecast();
    message.set_age_ms(std::max<std::int64_t>(0, utils::millisecondsBetween(forecast.at, now).count()));
    for (const auto& [queue, backlog] : forecast.queues) {
        auto& entry = *message.add_queues();
        entry.set_queue(queue);
        entry.set_best_effort_ms(backlog.bestEffort.count());
        entry.set_batch_ms(backlog.batch.count());
        entry.set_duration_ratio(backlog.durationRatio);
        entry.set_mean_chain_ms(backlog.meanChain.count());
    }
}

std::optional<jobs::published_forecast> readForecast(const protocol::RulesUpdate& source)
{
    const auto isBacklog = [](std::int64_t milliseconds) {
        return milliseconds >= 0 && milliseconds <= jobs::longestBacklogTime.count();
    };
    // The comparison excludes numbers that aren't any.
    const auto isSound = [&](const auto& entry) {
        return isBacklog(entry.best_effort_ms()) && isBacklog(entry.batch_ms()) && entry.duration_ratio() >= 0 && entry.duration_ratio() <= maximumDurationRatio && entry.mean_chain_ms() >= 0 && entry.mean_chain_ms() <= maximumDuration;
    };
    const auto& message = source.forecast();
    const bool isTimeKnown = source.hello_us() > 0 && source.hello_us() / 1000 <= maximumUptime && message.age_ms() >= 0 && message.age_ms() <= maximumDuration;
    if (!source.has_forecast() || !isTimeKnown || static_cast<std::size_t>(message.queues_size()) > jobs::maximumPublishedQueues || !std::ranges::all_of(message.queues(), isSound))
        return std::nullopt;
    // The leader sent it after the hello.
    jobs::published_forecast forecast { {}, utils::time_point(utils::microseconds(source.hello_us()) - utils::milliseconds(message.age_ms())) };
    for (const auto& entry : message.queues())
        forecast.queues[entry.queue()] = { utils::milliseconds(entry.best_effort_ms()), utils::milliseconds(entry.batch_ms()), entry.duration_ratio(), utils::milliseconds(entry.mean_chain_ms()) };
    return forecast;
}

} // namespace camphorsaddle::tasks
