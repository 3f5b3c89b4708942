#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "placement/shard_coordinator.h"
#include "utils/errors.h"

namespace camphorsaddle::placement {

namespace {

    constexpr absl::string_view delegatedJobPrefix = "guest/";

    attempt_phase reportedPhase(const task_record& task)
    {
        const auto phase = task.machine.phase();
        if (phase == task_phase::Parked && task.parkingCause == parking_cause::FailedOften)
            return attempt_phase::Failed;
        switch (phase) {
        case task_phase::Finished:
            return attempt_phase::Finished;
        case task_phase::Failed:
            return attempt_phase::Failed;
        case task_phase::Cancelled:
            return attempt_phase::Stopped;
        default:
            return attempt_phase::Running;
        }
    }

} // namespace

std::string delegatedJobKey(absl::string_view homeShard, const attempt_id& attempt)
{
    return absl::StrCat(delegatedJobPrefix, homeShard, "/", attempt.task, "#", attempt.attempt);
}

absl::StatusOr<attempt_id> parseDelegatedJobKey(const std::string& key)
{
    absl::string_view rest = key;
    const auto hash = rest.rfind('#');
    attempt_id attempt;
    const bool isDelegated = absl::ConsumePrefix(&rest, delegatedJobPrefix) && hash != absl::string_view::npos && absl::SimpleAtoi(key.substr(hash + 1), &attempt.attempt);
    const auto slash = rest.find('/');
    if (!isDelegated || slash == absl::string_view::npos)
        return utils::makeError(absl::StatusCode::kInvalidArgument, "read the key of a delegated job", key, "expected guest/SHARD/TASK#ATTEMPT");
    attempt.task = std::string(rest.substr(slash + 1, rest.rfind('#') - slash - 1));
    return attempt;
}

// The free resources that a remote shard reports are outdated; tasks delegated to it since then are in the allocations.
void shard_coordinator::setRemoteShards(const std::map<std::string, model::resources>& free)
{
    for (auto& [name, contact] : m_workers) {
        if (contact.view.isRemoteShard)
            contact.view.host.capacity = m_state.allocatedOnWorker(name);
    }
    for (const auto& [shard, resources] : free) {
        const auto name = absl::StrCat(remoteShardPrefix, shard);
        auto& view = m_workers[name].view;
        view.isRemoteShard = true;
        view.host.id = name;
        view.host.url = name;
        view.host.state = model::host_state::Live;
        view.host.capacity = resources + m_state.allocatedOnWorker(name);
    }
}

model::resources shard_coordinator::resourcesForDelegation(utils::time_point now) const
{
    model::resources free;
    if (!m_isReady || !m_state.queues().empty())
        return free;
    for (const auto& [name, contact] : m_workers) {
        if (!contact.view.isRemoteShard && contact.view.isResponsive && contact.view.host.state == model::host_state::Live && allowsStarts(contact.view, now))
            free = free + contact.view.host.capacity - m_state.allocatedOnWorker(name);
    }
    return free;
}

void shard_coordinator::onOffer(const std::string& homeShard, const delegation_offer& offer, utils::time_point now)
{
    if (!m_isReady)
        return;
    const auto job = delegatedJobKey(homeShard, offer.id);
    if (m_state.isReleased(job))
        m_commands.emplace_back(answer_home_shard { job, delegation_outcome::Refused });
    else if (m_state.findJob(job) != nullptr)
        m_commands.emplace_back(answer_home_shard { job, delegation_outcome::Accepted });
    else if (isEvacuated(now)) {
        // The refusal is journalled, so that a late copy of the offer is refused as well after the evacuation.
        m_pendingReleases[job] = delegation_outcome::Refused;
        m_commands.emplace_back(append_entry { delegation_released { job } });
    } else
        m_commands.emplace_back(append_entry { job_accepted { job, offer.team, offer.kind, 1, homeShard, offer.epoch, offer.checkpoint } });
}

void shard_coordinator::onRecall(const std::string& homeShard, const attempt_id& attempt)
{
    if (!m_isReady)
        return;
    const auto job = delegatedJobKey(homeShard, attempt);
    const auto* record = m_state.findJob(job);
    if (record == nullptr) {
        m_pendingReleases[job] = delegation_outcome::Absent;
        m_commands.emplace_back(append_entry { delegation_released { job } });
    } else if (!record->isEnded()) {
        if (!record->isCancelled)
            m_commands.emplace_back(append_entry { job_cancelled { job } });
    } else if (record->tasks.front().machine.phase() == task_phase::Cancelled) {
        m_pendingReleases[job] = delegation_outcome::Stopped;
        m_commands.emplace_back(append_entry { delegation_released { job } });
    }
    // The home shard learns of a finished task from the next report.
}

void shard_coordinator::onAcknowledged(const std::string& homeShard, const std::vector<attempt_id>& attempts)
{
    for (const auto& attempt : attempts) {
        const auto job = delegatedJobKey(homeShard, attempt);
        const auto* record = m_state.findJob(job);
        if (!m_isReady || record == nullptr || reportedPhase(record->tasks.front()) == attempt_phase::Running)
            continue;
        if (!record->isEnded())
            m_commands.emplace_back(append_entry { job_cancelled { job } });
        m_commands.emplace_back(append_entry { delegation_released { job } });
    }
}

void shard_coordinator::answerHomeShard(const batch_entry& change)
{
    if (const auto* accepted = std::get_if<job_accepted>(&change); accepted != nullptr && !accepted->homeShard.empty()) {
        const bool isAccepted = m_state.findJob(accepted->job) != nullptr;
        m_commands.emplace_back(answer_home_shard { accepted->job, isAccepted ? delegation_outcome::Accepted : delegation_outcome::Refused });
    }
    if (const auto* released = std::get_if<delegation_released>(&change)) {
        const auto release = m_pendingReleases.extract(released->job);
        if (!release.empty() && m_state.findJob(released->job) == nullptr)
            m_commands.emplace_back(answer_home_shard { released->job, release.mapped() });
    }
}

// Cancels delegated tasks that wait here for a worker, so that their home shards can place them elsewhere. Home shards learn
// of it from the next report.
void shard_coordinator::returnDelegatedTasks(utils::time_point now)
{
    if (!isEvacuated(now))
        return;
    for (const auto& [key, queue] : m_state.queues()) {
        if (!key.isDelegated)
            continue;
        for (const auto& [position, task] : queue) {
            if (m_busyTasks.count(task) == 0 && m_pendingReturns.insert(task.job).second)
                m_commands.emplace_back(append_entry { job_cancelled { task.job } });
        }
    }
}

std::vector<attempt_status> shard_coordinator::reportDelegatedTasks(const std::string& homeShard) const
{
    std::vector<attempt_status> reports;
    for (const auto& job : m_state.jobsDelegatedBy(homeShard)) {
        const auto& record = *m_state.findJob(job);
        const auto attempt = parseDelegatedJobKey(job);
        const auto& task = record.tasks.front();
        if (attempt.ok())
            reports.push_back({ *attempt, record.homeShardEpoch, reportedPhase(task), task.checkpoint, {} });
    }
    return reports;
}

} // namespace camphorsaddle::placement
