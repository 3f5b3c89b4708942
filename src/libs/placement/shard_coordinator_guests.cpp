#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "placement/shard_coordinator.h"
#include "utils/errors.h"

namespace camphorsaddle::placement {

namespace {

    constexpr absl::string_view guestPrefix = "guest/";

    attempt_phase phaseOf(const task_record& task)
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

std::string guestKey(absl::string_view home, const attempt_name& name)
{
    return absl::StrCat(guestPrefix, home, "/", name.task, "#", name.attempt);
}

absl::StatusOr<attempt_name> parseGuest(const std::string& job)
{
    absl::string_view rest = job;
    const auto mark = rest.rfind('#');
    attempt_name name;
    const bool isGuest = absl::ConsumePrefix(&rest, guestPrefix) && mark != absl::string_view::npos && absl::SimpleAtoi(job.substr(mark + 1), &name.attempt);
    const auto slash = rest.find('/');
    if (!isGuest || slash == absl::string_view::npos)
        return utils::makeError(absl::StatusCode::kInvalidArgument, "read a task that was handed over", job, "not the name of one");
    name.task = std::string(rest.substr(slash + 1, rest.rfind('#') - slash - 1));
    return name;
}

// The shard's own word on what is free lags behind; what was handed over since is in the ledger.
void shard_coordinator::setShards(const std::map<std::string, model::resources>& free)
{
    for (auto& [name, known] : m_workers) {
        if (known.view.isShard)
            known.view.host.capacity = m_state.chargedTo(name);
    }
    for (const auto& [shard, amounts] : free) {
        const auto name = absl::StrCat(shardPrefix, shard);
        auto& view = m_workers[name].view;
        view.isShard = true;
        view.host.id = name;
        view.host.url = name;
        view.host.state = model::host_state::Live;
        view.host.capacity = amounts + m_state.chargedTo(name);
    }
}

model::resources shard_coordinator::freeForGuests() const
{
    model::resources free;
    if (!m_isReady || !m_state.queues().empty())
        return free;
    for (const auto& [name, known] : m_workers) {
        if (!known.view.isShard && known.view.isConfirmed && known.view.host.state == model::host_state::Live)
            free = free + known.view.host.capacity - m_state.chargedTo(name);
    }
    return free;
}

void shard_coordinator::onOffer(const std::string& home, const guest_offer& offer)
{
    if (!m_isReady)
        return;
    const auto job = guestKey(home, offer.name);
    if (m_state.isBarred(job))
        m_commands.emplace_back(answer_home { job, guest_outcome::Refused });
    else if (m_state.findJob(job) != nullptr)
        m_commands.emplace_back(answer_home { job, guest_outcome::Accepted });
    else
        m_commands.emplace_back(append_entry { job_accepted { job, offer.team, offer.kind, 1, home, offer.epoch, offer.checkpoint } });
}

void shard_coordinator::onRecall(const std::string& home, const attempt_name& name)
{
    if (!m_isReady)
        return;
    const auto job = guestKey(home, name);
    const auto* known = m_state.findJob(job);
    if (known == nullptr) {
        m_recalls[job] = guest_outcome::Absent;
        m_commands.emplace_back(append_entry { guest_released { job } });
    } else if (!known->isEnded()) {
        if (!known->isCancelled)
            m_commands.emplace_back(append_entry { job_cancelled { job } });
    } else if (known->tasks.front().machine.phase() == task_phase::Cancelled) {
        m_recalls[job] = guest_outcome::Stopped;
        m_commands.emplace_back(append_entry { guest_released { job } });
    }
    // The home hears by report of one that finished.
}

void shard_coordinator::onAcknowledged(const std::string& home, const std::vector<attempt_name>& names)
{
    for (const auto& name : names) {
        const auto job = guestKey(home, name);
        const auto* known = m_state.findJob(job);
        if (!m_isReady || known == nullptr || phaseOf(known->tasks.front()) == attempt_phase::Running)
            continue;
        if (!known->isEnded())
            m_commands.emplace_back(append_entry { job_cancelled { job } });
        m_commands.emplace_back(append_entry { guest_released { job } });
    }
}

void shard_coordinator::answerCommitted(const batch_entry& change)
{
    if (const auto* accepted = std::get_if<job_accepted>(&change); accepted != nullptr && !accepted->home.empty()) {
        const bool isHeld = m_state.findJob(accepted->job) != nullptr;
        m_commands.emplace_back(answer_home { accepted->job, isHeld ? guest_outcome::Accepted : guest_outcome::Refused });
    }
    if (const auto* released = std::get_if<guest_released>(&change)) {
        const auto recall = m_recalls.extract(released->job);
        if (!recall.empty() && m_state.findJob(released->job) == nullptr)
            m_commands.emplace_back(answer_home { released->job, recall.mapped() });
    }
}

std::vector<attempt_status> shard_coordinator::reportGuests(const std::string& home) const
{
    std::vector<attempt_status> held;
    for (const auto& job : m_state.guestsOf(home)) {
        const auto& known = *m_state.findJob(job);
        const auto name = parseGuest(job);
        const auto& task = known.tasks.front();
        if (name.ok())
            held.push_back({ *name, known.homeEpoch, phaseOf(task), task.checkpoint, {} });
    }
    return held;
}

} // namespace camphorsaddle::placement
