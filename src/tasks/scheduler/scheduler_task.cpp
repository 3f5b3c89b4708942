#include "tasks/scheduler/scheduler_task.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "tasks/error_response.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/hashing.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds storeTimeout { 2000 };
    constexpr utils::milliseconds workerCallTimeout { 2000 };
    constexpr utils::milliseconds hostListInterval { 5000 };
    constexpr utils::milliseconds cycleInterval { 50 };
    //! Number of store writes that may be made at once when the write budget was unused before.
    constexpr double storeWriteBurst = 10;

    std::string shardName(absl::string_view dataCentre, int index)
    {
        return absl::StrCat("batch-", dataCentre, "-", index);
    }

    std::set<std::string> dataCentreNames(const settings::cluster_settings& cluster)
    {
        std::set<std::string> names;
        for (const auto& dataCentre : cluster.dataCentres)
            names.insert(dataCentre.name);
        return names;
    }

    //! Number of tasks that occupy workers of the shard.
    std::size_t countTasksOnWorkers(const placement::shard_state& state)
    {
        std::size_t count = 0;
        for (const auto& worker : state.allocatedWorkers())
            count += absl::StartsWith(worker, placement::remoteShardPrefix) ? 0 : state.taskCountOnWorker(worker);
        return count;
    }

    std::vector<membership::shard_location> listShards(const settings::cluster_settings& cluster)
    {
        std::vector<membership::shard_location> shards;
        for (const auto& dataCentre : cluster.dataCentres) {
            for (int index = 0; index < cluster.batchShardCount; ++index)
                shards.push_back({ shardName(dataCentre.name, index), dataCentre.name, dataCentre.region });
        }
        return shards;
    }

    //! The home shard of the team, which accepts its jobs; chosen by rendezvous hashing.
    const membership::shard_location& homeShardOf(const std::vector<membership::shard_location>& shards, const std::string& team)
    {
        return *std::max_element(shards.begin(), shards.end(), [&](const auto& left, const auto& right) {
            return utils::stableHash(team, utils::stableHash(left.key)) < utils::stableHash(team, utils::stableHash(right.key));
        });
    }

} // namespace

scheduler_task::scheduler_task(daemon_context& context)
    : task(context)
    , m_client(transport::http_client::create(loop()))
    , m_httpStore(*m_client, context.settings.storeUrl, storeTimeout, context.metrics)
    , m_workers(*m_client, workerCallTimeout)
    , m_directory(*m_client, context.settings.hostListUrl, workerCallTimeout)
    , m_executor(loop())
    , m_store(m_httpStore, m_executor, context.metrics, { .callTimeout = storeTimeout, .seed = context.incarnation })
    , m_evacuations(m_store, m_executor, [this] { updateEvacuations(); })
    , m_evacuationApi(m_store, m_evacuations, dataCentreNames(context.settings.cluster), [this] { return evacuationOverview(); })
    , m_evacuatedDataCentres(context.metrics.addGauge("camphorsaddle_batch_evacuated_data_centres"))
    , m_evacuatedTasks(context.metrics.addGauge("camphorsaddle_batch_evacuated_tasks"))
    , m_startsSuspended(context.metrics.addGauge("camphorsaddle_batch_starts_suspended"))
    , m_budget(context.settings.cluster.storeWritesPerSecond, storeWriteBurst)
    , m_hostListTimer(loop(), [this] { fetchHosts(); })
    , m_cycleTimer(loop(), [this] { runCycle(); })
    , m_shards(listShards(context.settings.cluster))
{
}

scheduler_task::~scheduler_task() = default;

absl::Status scheduler_task::open()
{
    context().mailboxes.scheduler.open(loop(), [this](scheduler_message message) { handleMessage(std::move(message)); });
    m_hostListTimer.startOnce(utils::milliseconds(0));
    m_evacuations.start();
    m_cycleTimer.startRepeating(cycleInterval);
    return absl::OkStatus();
}

void scheduler_task::handleMessage(scheduler_message message)
{
    std::visit(overloaded {
                   [this](membership_changed& change) {
                       m_membership = std::move(change);
                       updateOwnership();
                   },
                   [this](configuration_applied& change) {
                       m_configuration = std::move(change.value);
                       for (auto& [name, owner] : m_owners)
                           owner->setConfiguration(m_configuration);
                   },
                   [this](const administration_call& call) { handleCall(call); },
                   [this](const drain&) {
                       m_isDraining = true;
                       releaseAllShards();
                       context().mailboxes.application.post(task_drained { "scheduler" });
                   },
                   [this](const stop_task&) { loop().stop(); },
               },
        message);
}

void scheduler_task::updateOwnership()
{
    if (m_isDraining)
        return;
    const auto memberCount = std::max<std::size_t>(1, m_membership.view.members.size());
    m_budget.setRate(static_cast<double>(context().settings.cluster.storeWritesPerSecond) / static_cast<double>(memberCount));
    for (const auto& shard : m_shards) {
        const auto* owner = membership::ownerOf(shard, m_membership.view);
        const bool isOwned = m_membership.isMember && owner != nullptr && owner->id == context().settings.daemonId;
        const auto existing = m_owners.find(shard.key);
        if (!isOwned && existing != m_owners.end()) {
            utils::logEvent(utils::events::shardReleased, { { "shard", shard.key } });
            releaseShard(shard.key);
        }
        if (!isOwned || m_owners.count(shard.key) > 0)
            continue;
        const std::string writer = absl::StrCat(context().settings.daemonId, "-", context().incarnation, "-", ++m_ownerCount);
        auto created = std::make_unique<shard_owner>(shard_environment { m_store, m_workers, m_executor, m_budget, context().settings.cluster, workerCallTimeout }, shard.key, writer);
        created->setConfiguration(m_configuration);
        created->setWorkers(m_hostsByShard[shard.key]);
        created->setEvacuations(m_evacuations.state());
        created->open();
        m_owners[shard.key] = std::move(created);
    }
}

// Removes the owner from the map before destroying it, because its destructor calls pending callbacks that search the map.
void scheduler_task::releaseShard(const std::string& shard)
{
    const auto released = m_owners.extract(shard);
}

void scheduler_task::releaseAllShards()
{
    const auto released = std::exchange(m_owners, {});
}

void scheduler_task::fetchHosts()
{
    m_directory.hosts([this](const absl::StatusOr<std::vector<model::host>>& hosts) {
        if (hosts.ok())
            updateHosts(*hosts);
        m_hostListTimer.startOnce(hostListInterval);
    });
}

// Assigns workers to shards by the hash of their rack, so that all workers of a rack belong to the same shard.
void scheduler_task::updateHosts(const std::vector<model::host>& hosts)
{
    m_hostsByShard.clear();
    for (const auto& host : hosts) {
        if (host.role != model::host_role::Worker)
            continue;
        const auto index = utils::stableHash(host.rack) % static_cast<std::uint64_t>(context().settings.cluster.batchShardCount);
        m_hostsByShard[shardName(host.dataCentre, static_cast<int>(index))].push_back(host);
    }
    for (auto& [name, owner] : m_owners)
        owner->setWorkers(m_hostsByShard[name]);
}

void scheduler_task::runCycle()
{
    std::vector<std::string> lostShards;
    for (auto& [name, owner] : m_owners) {
        owner->runCycle();
        if (owner->hasLostOwnership())
            lostShards.push_back(name);
    }
    // If the membership still assigns the shard to this daemon, a new owner takes it over again.
    for (const auto& name : lostShards)
        releaseShard(name);
    if (!lostShards.empty())
        updateOwnership();
    reportEvacuations();
    publishStatus();
}

void scheduler_task::updateEvacuations()
{
    for (auto& [name, owner] : m_owners)
        owner->setEvacuations(m_evacuations.state());
}

evacuation_overview scheduler_task::evacuationOverview() const
{
    evacuation_overview overview;
    for (const auto& shard : m_shards) {
        if (const auto hosts = m_hostsByShard.find(shard.key); hosts != m_hostsByShard.end()) {
            const bool hasWorkers = std::any_of(hosts->second.begin(), hosts->second.end(), [](const model::host& host) { return host.state == model::host_state::Live; });
            if (hasWorkers)
                overview.dataCentresWithWorkers.insert(shard.dataCentre);
        }
        if (const auto owner = m_owners.find(shard.key); owner != m_owners.end())
            overview.tasks[shard.dataCentre] += countTasksOnWorkers(owner->second->state());
    }
    return overview;
}

void scheduler_task::reportEvacuations()
{
    const auto& state = m_evacuations.state();
    const auto knowledge = state.knowledge(m_executor.now());
    const bool isUnknown = knowledge == placement::evacuation_knowledge::Unknown;
    const bool wasUnknown = m_loggedKnowledge == placement::evacuation_knowledge::Unknown;
    if (isUnknown != wasUnknown)
        utils::logEvent(isUnknown ? utils::events::evacuationsUnknown : utils::events::evacuationsConfirmed);
    m_loggedKnowledge = knowledge;
    std::size_t taskCount = 0;
    std::set<std::string> withTasks;
    if (!state.knownSince().empty()) {
        for (const auto& [dataCentre, count] : evacuationOverview().tasks) {
            if (!state.isEvacuated(dataCentre) || count == 0)
                continue;
            withTasks.insert(dataCentre);
            taskCount += count;
        }
    }
    for (const auto& dataCentre : m_dataCentresWithTasks) {
        if (!withTasks.contains(dataCentre) && state.isEvacuated(dataCentre))
            utils::logEvent(utils::events::evacuationDrained, { { "data_centre", dataCentre } });
    }
    m_dataCentresWithTasks = std::move(withTasks);
    m_evacuatedDataCentres.set(static_cast<std::int64_t>(state.knownSince().size()));
    m_evacuatedTasks.set(static_cast<std::int64_t>(taskCount));
    m_startsSuspended.set(isUnknown ? 1 : 0);
}

void scheduler_task::publishStatus()
{
    nlohmann::json shards = nlohmann::json::array();
    for (const auto& shard : m_shards) {
        const auto* owner = membership::ownerOf(shard, m_membership.view);
        const auto found = m_owners.find(shard.key);
        const bool isOwned = found != m_owners.end();
        const auto reason = waitReasonOf(m_evacuations.state(), shard.dataCentre, m_executor.now());
        shards.push_back({ { "shard", shard.key }, { "owner", owner == nullptr ? "" : owner->id }, { "epoch", isOwned ? found->second->epoch() : 0 },
            { "state", !isOwned ? "elsewhere" : found->second->isReady() ? "ready"
                                                                         : "opening" },
            { "starts", reason.empty() ? "open" : std::string(reason) }, { "tasks", isOwned ? countTasksOnWorkers(found->second->state()) : 0 } });
    }
    context().mailboxes.administration.post(status_report { "shards", shards.dump() });
}

void scheduler_task::reply(std::uint64_t ticket, transport::http_response response)
{
    context().mailboxes.administration.post(administration_reply { ticket, std::move(response) });
}

void scheduler_task::handleCall(const administration_call& call)
{
    if (isEvacuationPath(call.request.path))
        m_evacuationApi.handle(call.request, std::chrono::system_clock::now(), [this, ticket = call.ticket](transport::http_response response) { reply(ticket, std::move(response)); });
    else if (call.request.method == "POST" && call.request.path == "/v1/jobs")
        handleSubmission(call);
    else if (call.request.method == "GET" || call.request.method == "DELETE")
        handleJobRequest(call);
    else
        reply(call.ticket, errorResponse(405, "method", utils::makeError(absl::StatusCode::kUnimplemented, "jobs", call.request.path, "the method must be POST, GET or DELETE")));
}

shard_owner* scheduler_task::findHomeShard(const administration_call& call, const std::string& team)
{
    const auto& shard = homeShardOf(m_shards, team);
    const auto found = m_owners.find(shard.key);
    if (found != m_owners.end() && found->second->isReady())
        return found->second.get();
    const auto* owner = membership::ownerOf(shard, m_membership.view);
    if (owner != nullptr && owner->id != context().settings.daemonId && !call.isForwarded) {
        context().mailboxes.administration.post(administration_redirect { call.ticket, owner->id });
        return nullptr;
    }
    reply(call.ticket, errorResponse(503, "no_owner", utils::makeError(absl::StatusCode::kUnavailable, "find the owner", shard.key, "the shard is changing its owner or the store is unavailable; nothing was changed, try again")));
    return nullptr;
}

absl::string_view scheduler_task::waitReason(const std::string& shard) const
{
    const auto found = std::find_if(m_shards.begin(), m_shards.end(), [&](const auto& location) { return location.key == shard; });
    return found == m_shards.end() ? "" : waitReasonOf(m_evacuations.state(), found->dataCentre, m_executor.now());
}

void scheduler_task::handleSubmission(const administration_call& call)
{
    const auto submission = parseSubmission(call.request.body, call.request.peer);
    if (!submission.ok()) {
        reply(call.ticket, errorResponse(400, "bad_request", submission.status()));
        return;
    }
    const auto refuse = [&](int status, absl::string_view reason, absl::string_view cause) {
        utils::logEvent(utils::events::jobRefused, { { "job", submission->id }, { "team", submission->team }, { "reason", std::string(reason) } });
        reply(call.ticket, errorResponse(status, reason, utils::makeError(absl::StatusCode::kFailedPrecondition, "submit a job", submission->team, cause)));
    };
    if (m_configuration == nullptr) {
        refuse(503, "not_configured", "no configuration has been applied yet");
        return;
    }
    const auto kind = m_configuration->batchKinds.find(submission->kind);
    if (m_configuration->teams.count(submission->team) == 0 || kind == m_configuration->batchKinds.end()) {
        refuse(422, "unknown_name", absl::StrCat("the configuration has no team ", submission->team, " or no kind ", submission->kind));
        return;
    }
    const auto fit = findFit(m_hostsByShard, kind->second.size, m_evacuations.state());
    if (fit == worker_fit::NeverFits) {
        refuse(422, "never_fits", "no worker is large enough for a task of this kind");
        return;
    }
    if (fit == worker_fit::OnlyEvacuated) {
        refuse(422, "never_fits", "each worker that is large enough for a task of this kind is in an evacuated data centre; submit the job again after the evacuation");
        return;
    }
    if (auto* owner = findHomeShard(call, submission->team))
        acceptJob(call.ticket, *owner, *submission);
}

void scheduler_task::acceptJob(std::uint64_t ticket, shard_owner& owner, const job_submission& submission)
{
    const placement::job_accepted accepted { jobKey(submission.team, submission.id), submission.team, submission.kind, submission.tasks };
    if (const auto* existing = owner.state().findJob(accepted.job)) {
        const bool isSame = existing->kind == accepted.kind && existing->tasks.size() == accepted.tasks;
        if (isSame)
            reply(ticket, transport::jsonResponse(200, renderJob(*existing, waitReason(owner.name()))));
        else
            reply(ticket, errorResponse(409, "other_job", utils::makeError(absl::StatusCode::kAlreadyExists, "submit a job", accepted.job, "a job with the same id but another kind or number of tasks exists")));
        return;
    }
    if (!owner.isStoreReachable()) {
        reply(ticket, errorResponse(503, "store_unavailable", utils::makeError(absl::StatusCode::kUnavailable, "submit a job", owner.name(), "the store is unreachable; the job was not accepted")));
        return;
    }
    owner.append(accepted, [this, ticket, accepted, name = owner.name()](const absl::Status& status) {
        const auto found = m_owners.find(name);
        const auto* job = found == m_owners.end() ? nullptr : found->second->state().findJob(accepted.job);
        if (status.ok() && job != nullptr)
            reply(ticket, transport::jsonResponse(201, renderJob(*job, waitReason(name))));
        else if (absl::IsUnknown(status))
            reply(ticket, errorResponse(504, "unknown", status));
        else
            reply(ticket, errorResponse(503, "not_accepted", status));
    });
}

void scheduler_task::handleJobRequest(const administration_call& call)
{
    const auto address = parseJobAddress(call.request);
    if (!address.ok()) {
        reply(call.ticket, errorResponse(400, "bad_request", address.status()));
        return;
    }
    auto* owner = findHomeShard(call, address->team);
    if (owner == nullptr)
        return;
    if (address->id.empty()) {
        reply(call.ticket, transport::jsonResponse(200, renderJobs(owner->state(), address->team, waitReason(owner->name()))));
        return;
    }
    const auto key = jobKey(address->team, address->id);
    const auto* job = owner->state().findJob(key);
    if (job == nullptr)
        reply(call.ticket, errorResponse(404, "unknown_job", utils::makeError(absl::StatusCode::kNotFound, "read a job", key, "no such job")));
    else if (call.request.method == "DELETE" && !job->isCancelled && !job->isEnded())
        cancelJob(call.ticket, *owner, key);
    else
        reply(call.ticket, transport::jsonResponse(200, renderJob(*job, waitReason(owner->name()))));
}

void scheduler_task::cancelJob(std::uint64_t ticket, shard_owner& owner, const std::string& job)
{
    owner.append(placement::job_cancelled { job }, [this, ticket, job, name = owner.name()](const absl::Status& status) {
        const auto found = m_owners.find(name);
        if (status.ok() && found != m_owners.end())
            reply(ticket, transport::jsonResponse(200, renderJob(*found->second->state().findJob(job), waitReason(name))));
        else
            reply(ticket, errorResponse(absl::IsUnknown(status) ? 504 : 503, "not_cancelled", status));
    });
}

void scheduler_task::close()
{
    releaseAllShards();
}

} // namespace camphorsaddle::tasks
