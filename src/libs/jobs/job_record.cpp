#include "jobs/job_record.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "absl/strings/str_cat.h"
#include "protocol/jobs.pb.h"
#include "utils/errors.h"

namespace camphorsaddle::jobs {

namespace {

    void writeStep(const step_spec& step, protocol::JobStep& record)
    {
        record.set_count(step.count);
        record.set_processors(step.taskResources.processors);
        record.set_memory(step.taskResources.memory);
        record.set_accelerators(step.taskResources.accelerators);
        record.set_estimate_ms(step.estimate.count());
        for (const unsigned earlier : step.after)
            record.add_after(earlier);
        record.set_checkpoints(step.hasCheckpoints);
        record.set_label(step.label);
        record.set_rack(step.rack);
        record.set_per_worker(step.maximumTasksPerWorker);
        record.set_speculative(step.speculative);
        record.set_lasts(step.isLongRunning);
        record.set_image(step.image);
        record.set_target_ms(step.latencyTarget.count());
        record.set_fills(step.isBestEffort);
        record.set_may_miss(step.maximumUnavailableTasks);
    }

    step_spec readStep(const protocol::JobStep& record)
    {
        step_spec step;
        step.count = record.count();
        step.taskResources = { record.processors(), record.memory(), record.accelerators() };
        step.estimate = utils::milliseconds(record.estimate_ms());
        step.after.assign(record.after().begin(), record.after().end());
        step.hasCheckpoints = record.checkpoints();
        step.label = record.label();
        step.rack = record.rack();
        step.maximumTasksPerWorker = record.per_worker();
        step.speculative = record.speculative();
        step.isLongRunning = record.lasts();
        step.image = record.image();
        step.latencyTarget = utils::milliseconds(record.target_ms());
        step.isBestEffort = record.fills();
        step.maximumUnavailableTasks = record.may_miss();
        return step;
    }

    protocol::JobProgress::State stateOf(job_phase phase)
    {
        switch (phase) {
        case job_phase::Completed:
            return protocol::JobProgress::COMPLETED;
        case job_phase::Failed:
            return protocol::JobProgress::FAILED;
        case job_phase::Cancelled:
            return protocol::JobProgress::CANCELLED;
        case job_phase::Queued:
        case job_phase::Running:
            break;
        }
        return protocol::JobProgress::ACTIVE;
    }

    job_phase phaseOf(protocol::JobProgress::State state)
    {
        switch (state) {
        case protocol::JobProgress::COMPLETED:
            return job_phase::Completed;
        case protocol::JobProgress::FAILED:
            return job_phase::Failed;
        case protocol::JobProgress::CANCELLED:
            return job_phase::Cancelled;
        default:
            return job_phase::Running;
        }
    }

    // Bounds of stored values, within which sums and conversions hold.
    constexpr std::int64_t maximumProcessors = 100'000'000; // millicores
    constexpr std::int64_t maximumMemory = 1'000'000'000; // MiB
    constexpr std::int64_t maximumAccelerators = 100'000;
    constexpr std::int64_t millisecondsPerDay = 86'400'000;
    constexpr std::int64_t maximumDuration = 365 * millisecondsPerDay;
    // Unix times and workers' clocks, in ms.
    constexpr std::int64_t maximumTime = 100 * 365 * millisecondsPerDay;
    constexpr std::int64_t maximumLeaseLeft = millisecondsPerDay;
    // Terms and run numbers; a term has thousands of run numbers.
    constexpr std::uint64_t maximumTerm = 1'000'000'000'000;
    constexpr std::uint64_t maximumRunNumber = 1'000'000'000'000'000'000;
    constexpr unsigned maximumCrashCount = 1'000'000;
    constexpr double maximumPressure = 1e12;
    constexpr double maximumRatio = 1'000'000;

    bool isWithin(std::int64_t value, std::int64_t highest)
    {
        return value >= 0 && value <= highest;
    }

    absl::Status outOfBounds(absl::string_view step, absl::string_view field)
    {
        return utils::makeError(absl::StatusCode::kDataLoss, step, "store", absl::StrCat(field, " is out of bounds"));
    }

    absl::Status checkBounds(const job_spec& job)
    {
        if (!isWithin(job.acceptedAt.count(), maximumTime))
            return outOfBounds("read job", "the time of acceptance");
        for (const auto& step : job.steps) {
            if (step.taskResources.processors > maximumProcessors || step.taskResources.memory > maximumMemory || step.taskResources.accelerators > maximumAccelerators)
                return outOfBounds("read job", "a request for resources");
            if (!isWithin(step.estimate.count(), maximumDuration) || !isWithin(step.latencyTarget.count(), maximumDuration))
                return outOfBounds("read job", "an estimate or a latency target");
        }
        return absl::OkStatus();
    }

    absl::Status checkBounds(const job_progress& progress)
    {
        std::set<std::pair<unsigned, unsigned>> tasks;
        for (const auto& task : progress.tasks) {
            if (!tasks.emplace(task.step, task.index).second)
                return utils::makeError(absl::StatusCode::kDataLoss, "read progress", "store", absl::StrCat("task ", task.step, ".", task.index, " is listed twice"));
            const bool hasOddRun = std::ranges::any_of(task.failedRuns, [](std::uint64_t run) { return run > maximumRunNumber; });
            if (task.lastRun > maximumRunNumber || hasOddRun)
                return outOfBounds("read progress", "the number of a run");
            if (std::max({ task.crashCount, task.unconfirmedCrashCount, task.lateCrashCount }) > maximumCrashCount)
                return outOfBounds("read progress", "a number of crashes");
            if (std::ranges::any_of(task.possibleCrashes, [](const auto& crash) { return crash.run > maximumRunNumber || !isWithin(crash.workerIncarnation, maximumTime); }))
                return outOfBounds("read progress", "a possible crash");
        }
        return absl::OkStatus();
    }

    void writeLeader(const leader_record& leader, protocol::LeaderRecord& record)
    {
        record.set_daemon(leader.daemon);
        record.set_incarnation(leader.incarnation);
        record.set_endpoint(leader.endpoint);
        record.set_term(leader.term);
    }

    absl::StatusOr<leader_record> readLeader(const protocol::LeaderRecord& record)
    {
        if (record.term() > maximumTerm)
            return outOfBounds("read leader", "the term");
        return leader_record { record.daemon(), record.incarnation(), record.endpoint(), record.term() };
    }

    template <typename Record>
    absl::StatusOr<Record> parseRecord(const std::string& value, absl::string_view step)
    {
        Record record;
        if (!record.ParseFromString(value))
            return utils::makeError(absl::StatusCode::kDataLoss, step, "store", "the stored value can't be parsed as a record of this type");
        return record;
    }

} // namespace

void writeJob(const job_spec& job, protocol::JobRecord& record)
{
    record.set_id(job.id);
    record.set_queue(job.queue);
    record.set_service(job.service);
    record.set_payload(job.payload);
    for (const auto& step : job.steps)
        writeStep(step, *record.add_steps());
    record.set_accepted_ms(job.acceptedAt.count());
    record.set_maximum_attempts(job.maximumAttempts);
}

job_spec readJob(const protocol::JobRecord& record)
{
    job_spec job { record.id(), record.queue(), record.service(), record.payload(), {}, utils::milliseconds(record.accepted_ms()), record.maximum_attempts() };
    for (const auto& step : record.steps())
        job.steps.push_back(readStep(step));
    return job;
}

absl::StatusOr<job_spec> readCheckedJob(const protocol::JobRecord& record)
{
    auto job = readJob(record);
    if (auto status = validate(job); !status.ok())
        return status;
    if (auto status = checkBounds(job); !status.ok())
        return status;
    return job;
}

std::string encodeJob(const job_spec& job)
{
    protocol::JobRecord record;
    writeJob(job, record);
    return record.SerializeAsString();
}

std::string encodeProgress(const job_progress& progress)
{
    protocol::JobProgress record;
    record.set_state(stateOf(progress.phase));
    for (const auto& task : progress.tasks) {
        auto& target = *record.add_tasks();
        target.set_step(task.step);
        target.set_index(task.index);
        target.set_done(task.isDone);
        for (const auto run : task.failedRuns)
            target.add_failed_runs(run);
        target.set_last_run(task.lastRun);
        target.set_checkpoint(task.checkpoint);
        target.set_crash_count(task.crashCount);
        target.set_unconfirmed_crash_count(task.unconfirmedCrashCount);
        target.set_late_crash_count(task.lateCrashCount);
        for (const auto& crash : task.possibleCrashes) {
            auto& possibleCrash = *target.add_possible_crashes();
            possibleCrash.set_run(crash.run);
            possibleCrash.set_worker(crash.worker);
            possibleCrash.set_worker_endpoint(crash.workerEndpoint);
            possibleCrash.set_worker_incarnation(crash.workerIncarnation);
            possibleCrash.set_confirmed(crash.isConfirmed);
            possibleCrash.set_isolated(crash.isIsolated);
            possibleCrash.set_late(crash.isLate);
        }
    }
    return record.SerializeAsString();
}

std::string encodeLeader(const leader_record& leader)
{
    protocol::LeaderRecord record;
    writeLeader(leader, record);
    return record.SerializeAsString();
}

std::string encodeLeaderHistory(const std::vector<leader_record>& leaders)
{
    protocol::LeaderHistory history;
    for (const auto& leader : leaders)
        writeLeader(leader, *history.add_leaders());
    return history.SerializeAsString();
}

std::string encodeLearned(const learned_record& learned)
{
    protocol::LearnedRecord record;
    for (const auto& pressure : learned.pressures) {
        auto& target = *record.add_pressures();
        target.set_serving(pressure.serviceImage);
        target.set_fill(pressure.bestEffortImage);
        target.set_mean(pressure.mean);
        target.set_variance(pressure.variance);
    }
    for (const auto& [queue, ratio] : learned.ratios) {
        auto& target = *record.add_ratios();
        target.set_queue(queue);
        target.set_ratio(ratio);
    }
    return record.SerializeAsString();
}

std::string encodeRoster(const worker_roster& roster)
{
    protocol::WorkerRoster record;
    for (const auto& worker : roster.workers) {
        record.add_workers(worker.id);
        auto& address = *record.add_addresses();
        address.set_endpoint(worker.endpoint);
        address.set_data_centre(worker.dataCentre);
        address.set_incarnation(worker.incarnation);
        address.set_restarted(worker.hasRestarted);
        address.set_silent_term(worker.silentTerm);
        address.set_wait_left_ms(worker.waitLeft.count());
    }
    record.set_ended_term(roster.endedTerm);
    for (const auto& [worker, left] : roster.silent) {
        auto& target = *record.add_silent();
        target.set_worker(worker);
        target.set_lease_left_ms(left.count());
    }
    return record.SerializeAsString();
}

absl::StatusOr<job_spec> parseJob(const std::string& value)
{
    const auto record = parseRecord<protocol::JobRecord>(value, "read job");
    if (!record.ok())
        return record.status();
    return readCheckedJob(*record);
}

absl::StatusOr<job_progress> parseProgress(const std::string& value)
{
    const auto record = parseRecord<protocol::JobProgress>(value, "read progress");
    if (!record.ok())
        return record.status();
    job_progress progress { phaseOf(record->state()), {} };
    for (const auto& task : record->tasks()) {
        progress.tasks.push_back({ task.step(), task.index(), task.done(), { task.failed_runs().begin(), task.failed_runs().end() }, task.last_run(), task.checkpoint(), task.crash_count(), task.unconfirmed_crash_count(), task.late_crash_count(), {} });
        for (const auto& crash : task.possible_crashes())
            progress.tasks.back().possibleCrashes.push_back({ crash.run(), crash.worker(), crash.worker_endpoint(), crash.worker_incarnation(), crash.confirmed(), crash.isolated(), crash.late() });
    }
    if (auto status = checkBounds(progress); !status.ok())
        return status;
    return progress;
}

absl::StatusOr<leader_record> parseLeader(const std::string& value)
{
    const auto record = parseRecord<protocol::LeaderRecord>(value, "read leader");
    if (!record.ok())
        return record.status();
    return readLeader(*record);
}

absl::StatusOr<std::vector<leader_record>> parseLeaderHistory(const std::string& value)
{
    const auto history = parseRecord<protocol::LeaderHistory>(value, "read leader history");
    if (!history.ok())
        return history.status();
    std::vector<leader_record> leaders;
    for (const auto& record : history->leaders()) {
        auto leader = readLeader(record);
        if (!leader.ok())
            return leader.status();
        leaders.push_back(*std::move(leader));
    }
    return leaders;
}

absl::StatusOr<learned_record> parseLearned(const std::string& value)
{
    const auto record = parseRecord<protocol::LearnedRecord>(value, "read learned values");
    if (!record.ok())
        return record.status();
    // Also false for values that aren't numbers.
    const auto isBounded = [](double value, double highest) {
        return std::abs(value) <= highest;
    };
    learned_record learned;
    for (const auto& pressure : record->pressures()) {
        if (!isBounded(pressure.mean(), maximumPressure) || !isBounded(pressure.variance(), maximumPressure) || pressure.variance() < 0)
            return outOfBounds("read learned values", "a pressure");
        learned.pressures.push_back({ pressure.serving(), pressure.fill(), pressure.mean(), pressure.variance() });
    }
    for (const auto& ratio : record->ratios()) {
        if (!isBounded(ratio.ratio(), maximumRatio) || ratio.ratio() < 0)
            return outOfBounds("read learned values", "a ratio");
        learned.ratios[ratio.queue()] = ratio.ratio();
    }
    return learned;
}

absl::StatusOr<worker_roster> parseRoster(const std::string& value)
{
    const auto record = parseRecord<protocol::WorkerRoster>(value, "read roster");
    if (!record.ok())
        return record.status();
    if (record->ended_term() > maximumTerm)
        return outOfBounds("read roster", "the ended term");
    worker_roster roster { {}, record->ended_term(), {} };
    for (int index = 0; index < record->workers_size(); ++index) {
        roster.workers.push_back({ record->workers(index), {}, {} });
        // An older daemon may have written the ids alone.
        if (record->addresses_size() == record->workers_size()) {
            const auto& address = record->addresses(index);
            if (address.silent_term() > maximumTerm)
                return outOfBounds("read roster", "the term of a silent worker");
            if (!isWithin(address.wait_left_ms(), maximumLeaseLeft))
                return outOfBounds("read roster", "the wait for a silent worker");
            auto& worker = roster.workers.back();
            worker.endpoint = address.endpoint();
            worker.dataCentre = address.data_centre();
            worker.incarnation = address.incarnation();
            worker.hasRestarted = address.restarted();
            worker.silentTerm = address.silent_term();
            worker.waitLeft = utils::milliseconds(address.wait_left_ms());
        }
    }
    for (const auto& silent : record->silent()) {
        if (!isWithin(silent.lease_left_ms(), maximumLeaseLeft))
            return outOfBounds("read roster", "the rest of a lease");
        roster.silent[silent.worker()] = utils::milliseconds(silent.lease_left_ms());
    }
    return roster;
}

} // namespace camphorsaddle::jobs
