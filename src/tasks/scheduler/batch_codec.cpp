#include "tasks/scheduler/batch_codec.h"

#include "protocol/batch.pb.h"
#include "tasks/task.h"
#include "utils/errors.h"

namespace camphorsaddle::tasks {

namespace {

    using namespace placement;

    void encodeResources(const model::resources& amounts, protocol::Resources& target)
    {
        target.set_processors(amounts.processors);
        target.set_memory(amounts.memory);
        target.set_accelerators(amounts.accelerators);
    }

    model::resources decodeResources(const protocol::Resources& source)
    {
        return { source.processors(), source.memory(), source.accelerators() };
    }

    template <typename Message>
    void encodeTask(const task_id& task, std::uint32_t attempt, Message& target)
    {
        target.set_job(task.job);
        target.set_index(task.index);
        target.set_attempt(attempt);
    }

    template <typename Message>
    task_id decodeTask(const Message& source)
    {
        return { source.job(), source.index() };
    }

    absl::Status corrupt(absl::string_view step, absl::string_view cause)
    {
        return utils::makeError(absl::StatusCode::kDataLoss, step, "journal", cause);
    }

    bool isParkingCause(int value)
    {
        return value >= 0 && value <= static_cast<int>(parking_cause::FailedOften);
    }

    void encodeChange(const job_accepted& change, protocol::BatchEntry& target)
    {
        auto& message = *target.mutable_job_accepted();
        message.set_job(change.job);
        message.set_team(change.team);
        message.set_kind(change.kind);
        message.set_tasks(change.tasks);
        message.set_home(change.home);
        message.set_home_epoch(change.homeEpoch);
        message.set_checkpoint(change.checkpoint);
    }

    absl::StatusOr<batch_entry> decodeAccepted(const protocol::JobAccepted& message)
    {
        return job_accepted { message.job(), message.team(), message.kind(), message.tasks(), message.home(), message.home_epoch(), message.checkpoint() };
    }

    void encodeChange(const job_cancelled& change, protocol::BatchEntry& target)
    {
        target.mutable_job_cancelled()->set_job(change.job);
    }

    void encodeChange(const task_placed& change, protocol::BatchEntry& target)
    {
        auto& message = *target.mutable_task_placed();
        encodeTask(change.task, change.attempt, message);
        message.set_worker(change.worker);
        encodeResources(change.size, *message.mutable_size());
    }

    void encodeChange(const task_confirmed& change, protocol::BatchEntry& target)
    {
        encodeTask(change.task, change.attempt, *target.mutable_task_confirmed());
    }

    void encodeChange(const task_unconfirmed& change, protocol::BatchEntry& target)
    {
        encodeTask(change.task, change.attempt, *target.mutable_task_unconfirmed());
    }

    void encodeChange(const task_ended& change, protocol::BatchEntry& target)
    {
        auto& message = *target.mutable_task_ended();
        encodeTask(change.task, change.attempt, message);
        message.set_cause(static_cast<int>(change.cause));
        message.set_checkpoint(change.checkpoint);
    }

    void encodeChange(const owner_changed& change, protocol::BatchEntry& target)
    {
        target.mutable_owner_changed()->set_epoch(change.epoch);
    }

    void encodeChange(const renewals_extended& change, protocol::BatchEntry& target)
    {
        target.mutable_renewals_extended()->set_bound_ms(change.bound.count());
        target.mutable_renewals_extended()->set_former_ended(change.isFormerEnded);
    }

    void encodeChange(const task_evicting& change, protocol::BatchEntry& target)
    {
        auto& message = *target.mutable_task_evicting();
        encodeTask(change.task, change.attempt, message);
        message.set_step(static_cast<int>(change.step));
        message.set_checkpoint(change.checkpoint);
    }

    void encodeChange(const task_parking& change, protocol::BatchEntry& target)
    {
        auto& message = *target.mutable_task_parking();
        message.set_job(change.task.job);
        message.set_index(change.task.index);
        message.set_cause(static_cast<int>(change.cause));
    }

    void encodeChange(const guest_released& change, protocol::BatchEntry& target)
    {
        target.mutable_guest_released()->set_job(change.job);
    }

    absl::StatusOr<batch_entry> decodeEvicting(const protocol::TaskEvicting& message)
    {
        if (message.step() < 0 || message.step() > static_cast<int>(eviction_step::StopBegun))
            return corrupt("decode an entry", "unknown step of an eviction");
        return task_evicting { decodeTask(message), message.attempt(), static_cast<eviction_step>(message.step()), message.checkpoint() };
    }

    absl::StatusOr<batch_entry> decodeEnded(const protocol::TaskEnded& message)
    {
        if (message.cause() < 0 || message.cause() > static_cast<int>(attempt_end_cause::Returned))
            return corrupt("decode an entry", "unknown cause of an end");
        return task_ended { decodeTask(message), message.attempt(), static_cast<attempt_end_cause>(message.cause()), message.checkpoint() };
    }

    void encodeJob(const job_record& job, protocol::JobSnapshot& target)
    {
        target.set_job(job.job);
        target.set_team(job.team);
        target.set_kind(job.kind);
        target.set_cancelled(job.isCancelled);
        target.set_home(job.home);
        target.set_home_epoch(job.homeEpoch);
        for (const auto& task : job.tasks) {
            auto& message = *target.add_tasks();
            message.set_phase(static_cast<int>(task.machine.phase()));
            message.set_attempt(task.attempt);
            message.set_failures(task.failures);
            message.set_worker(task.worker);
            encodeResources(task.size, *message.mutable_size());
            message.set_checkpoint(task.checkpoint);
            message.set_parking_cause(static_cast<int>(task.parkingCause));
        }
    }

    absl::StatusOr<job_record> decodeJob(const protocol::JobSnapshot& source)
    {
        job_record job { source.job(), source.team(), source.kind(), source.cancelled(), {}, source.home(), source.home_epoch() };
        for (const auto& message : source.tasks()) {
            if (message.phase() < 0 || message.phase() >= static_cast<int>(taskPhaseCount))
                return corrupt("decode a snapshot", "unknown phase of a task");
            if (!isParkingCause(message.parking_cause()))
                return corrupt("decode a snapshot", "unknown cause of parking");
            job.tasks.push_back({ task_machine(static_cast<task_phase>(message.phase())), message.attempt(), message.failures(),
                message.worker(), decodeResources(message.size()), message.checkpoint(), static_cast<parking_cause>(message.parking_cause()) });
        }
        return job;
    }

} // namespace

std::string encodeEntry(const placement::batch_entry& change)
{
    protocol::BatchEntry message;
    std::visit([&](const auto& kind) { encodeChange(kind, message); }, change);
    return message.SerializeAsString();
}

absl::StatusOr<placement::batch_entry> decodeEntry(absl::string_view text)
{
    protocol::BatchEntry message;
    if (!message.ParseFromArray(text.data(), static_cast<int>(text.size())))
        return corrupt("decode an entry", "not a batch entry");
    switch (message.change_case()) {
    case protocol::BatchEntry::kJobAccepted:
        return decodeAccepted(message.job_accepted());
    case protocol::BatchEntry::kJobCancelled:
        return batch_entry(job_cancelled { message.job_cancelled().job() });
    case protocol::BatchEntry::kTaskPlaced:
        return batch_entry(task_placed { decodeTask(message.task_placed()), message.task_placed().attempt(), message.task_placed().worker(), decodeResources(message.task_placed().size()) });
    case protocol::BatchEntry::kTaskConfirmed:
        return batch_entry(task_confirmed { decodeTask(message.task_confirmed()), message.task_confirmed().attempt() });
    case protocol::BatchEntry::kTaskUnconfirmed:
        return batch_entry(task_unconfirmed { decodeTask(message.task_unconfirmed()), message.task_unconfirmed().attempt() });
    case protocol::BatchEntry::kTaskEnded:
        return decodeEnded(message.task_ended());
    case protocol::BatchEntry::kOwnerChanged:
        return batch_entry(owner_changed { message.owner_changed().epoch() });
    case protocol::BatchEntry::kRenewalsExtended:
        return batch_entry(renewals_extended { utils::milliseconds(message.renewals_extended().bound_ms()), message.renewals_extended().former_ended() });
    case protocol::BatchEntry::kTaskEvicting:
        return decodeEvicting(message.task_evicting());
    case protocol::BatchEntry::kTaskParking:
        if (!isParkingCause(message.task_parking().cause()))
            return corrupt("decode an entry", "unknown cause of parking");
        return batch_entry(task_parking { decodeTask(message.task_parking()), static_cast<parking_cause>(message.task_parking().cause()) });
    case protocol::BatchEntry::kGuestReleased:
        return batch_entry(guest_released { message.guest_released().job() });
    case protocol::BatchEntry::CHANGE_NOT_SET:
        break;
    }
    return corrupt("decode an entry", "unknown kind of entry");
}

std::string encodeSnapshot(const placement::shard_state& state)
{
    protocol::ShardSnapshot message;
    for (const auto& [name, job] : state.jobs())
        encodeJob(job, *message.add_jobs());
    for (const auto& job : state.barred())
        message.add_barred(job);
    message.set_renewal_bound_ms(state.renewalBound().count());
    return message.SerializeAsString();
}

absl::StatusOr<placement::shard_state> decodeSnapshot(absl::string_view text)
{
    protocol::ShardSnapshot message;
    if (!message.ParseFromArray(text.data(), static_cast<int>(text.size())))
        return corrupt("decode a snapshot", "not a shard snapshot");
    shard_state state;
    for (const auto& source : message.jobs()) {
        auto job = decodeJob(source);
        if (!job.ok())
            return job.status();
        state.restore(*std::move(job));
    }
    for (const auto& job : message.barred())
        state.bar(job);
    state.restoreRenewalBound(utils::milliseconds(message.renewal_bound_ms()));
    return state;
}

} // namespace camphorsaddle::tasks
