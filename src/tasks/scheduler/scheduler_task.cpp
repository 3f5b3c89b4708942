#include "tasks/scheduler/scheduler_task.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "tasks/error_response.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/hashing.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds storeTimeout { 2000 };
    constexpr utils::milliseconds workerTimeout { 2000 };
    constexpr utils::milliseconds hostsInterval { 5000 };
    constexpr utils::milliseconds driveInterval { 50 };
    //! Writes that may follow one another without a pause.
    constexpr double writeBurst = 10;

    std::string shardName(absl::string_view dataCentre, int index)
    {
        return absl::StrCat("batch-", dataCentre, "-", index);
    }

    std::vector<membership::shard_location> placesOf(const settings::cluster_settings& cluster)
    {
        std::vector<membership::shard_location> places;
        for (const auto& dataCentre : cluster.dataCentres) {
            for (int index = 0; index < cluster.batchShardCount; ++index)
                places.push_back({ shardName(dataCentre.name, index), dataCentre.name, dataCentre.region });
        }
        return places;
    }

    //! The shard that accepts a team's jobs.
    const membership::shard_location& homeOf(const std::vector<membership::shard_location>& places, const std::string& team)
    {
        return *std::max_element(places.begin(), places.end(), [&](const auto& left, const auto& right) {
            return utils::stableHash(team, utils::stableHash(left.key)) < utils::stableHash(team, utils::stableHash(right.key));
        });
    }

} // namespace

scheduler_task::scheduler_task(daemon_context& context)
    : task(context)
    , m_client(transport::http_client::create(loop()))
    , m_httpStore(*m_client, context.settings.storeUrl, storeTimeout, context.metrics)
    , m_workers(*m_client, workerTimeout)
    , m_directory(*m_client, context.settings.hostListUrl, workerTimeout)
    , m_executor(loop())
    , m_store(m_httpStore, m_executor, context.metrics, { .callTimeout = storeTimeout, .seed = context.incarnation })
    , m_budget(context.settings.cluster.storeWritesPerSecond, writeBurst)
    , m_hostsTimer(loop(), [this] { readHosts(); })
    , m_driveTimer(loop(), [this] { drive(); })
    , m_places(placesOf(context.settings.cluster))
{
}

scheduler_task::~scheduler_task() = default;

absl::Status scheduler_task::open()
{
    context().mailboxes.scheduler.open(loop(), [this](scheduler_message message) { handle(std::move(message)); });
    m_hostsTimer.startOnce(utils::milliseconds(0));
    m_driveTimer.startRepeating(driveInterval);
    return absl::OkStatus();
}

void scheduler_task::handle(scheduler_message message)
{
    std::visit(overloaded {
                   [this](membership_changed& change) {
                       m_membership = std::move(change);
                       assign();
                   },
                   [this](configuration_applied& change) {
                       m_configuration = std::move(change.value);
                       for (auto& [name, owner] : m_owners)
                           owner->setConfiguration(m_configuration);
                   },
                   [this](const administration_call& call) { answer(call); },
                   [this](const drain&) {
                       m_isDraining = true;
                       releaseAll();
                       context().mailboxes.application.post(task_drained { "scheduler" });
                   },
                   [this](const stop_task&) { loop().stop(); },
               },
        message);
}

void scheduler_task::assign()
{
    if (m_isDraining)
        return;
    const auto live = std::max<std::size_t>(1, m_membership.view.members.size());
    m_budget.setRate(static_cast<double>(context().settings.cluster.storeWritesPerSecond) / static_cast<double>(live));
    for (const auto& place : m_places) {
        const auto* owner = membership::ownerOf(place, m_membership.view);
        const bool isOwn = m_membership.isMember && owner != nullptr && owner->id == context().settings.daemonId;
        const auto known = m_owners.find(place.key);
        if (!isOwn && known != m_owners.end()) {
            utils::logEvent(utils::events::shardReleased, { { "shard", place.key } });
            release(place.key);
        }
        if (!isOwn || m_owners.count(place.key) > 0)
            continue;
        const std::string writer = absl::StrCat(context().settings.daemonId, "-", context().incarnation, "-", ++m_ownerCount);
        auto created = std::make_unique<shard_owner>(shard_environment { m_store, m_workers, m_executor, m_budget, context().settings.cluster, workerTimeout }, place.key, writer);
        created->setConfiguration(m_configuration);
        created->setWorkers(m_hostsByShard[place.key]);
        created->open();
        m_owners[place.key] = std::move(created);
    }
}

// An owner that goes calls its pending callbacks, which look for it in the map.
void scheduler_task::release(const std::string& shard)
{
    const auto released = m_owners.extract(shard);
}

void scheduler_task::releaseAll()
{
    const auto released = std::exchange(m_owners, {});
}

void scheduler_task::readHosts()
{
    m_directory.hosts([this](const absl::StatusOr<std::vector<model::host>>& hosts) {
        if (hosts.ok())
            applyHosts(*hosts);
        m_hostsTimer.startOnce(hostsInterval);
    });
}

// A rack stays whole in one shard.
void scheduler_task::applyHosts(const std::vector<model::host>& hosts)
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

void scheduler_task::drive()
{
    std::vector<std::string> deposed;
    for (auto& [name, owner] : m_owners) {
        owner->drive();
        if (owner->isDeposed())
            deposed.push_back(name);
    }
    // A deposed owner gives way to a new one when the membership still assigns the shard here.
    for (const auto& name : deposed)
        release(name);
    if (!deposed.empty())
        assign();
    report();
}

void scheduler_task::report()
{
    nlohmann::json shards = nlohmann::json::array();
    for (const auto& place : m_places) {
        const auto* owner = membership::ownerOf(place, m_membership.view);
        const auto own = m_owners.find(place.key);
        const bool isOwn = own != m_owners.end();
        shards.push_back({ { "shard", place.key }, { "owner", owner == nullptr ? "" : owner->id }, { "epoch", isOwn ? own->second->epoch() : 0 },
            { "state", !isOwn ? "elsewhere" : own->second->isReady() ? "ready"
                                                                     : "opening" } });
    }
    context().mailboxes.administration.post(status_report { "shards", shards.dump() });
}

void scheduler_task::reply(std::uint64_t ticket, transport::http_response response)
{
    context().mailboxes.administration.post(administration_reply { ticket, std::move(response) });
}

void scheduler_task::answer(const administration_call& call)
{
    if (call.request.method == "POST" && call.request.path == "/v1/jobs")
        submit(call);
    else if (call.request.method == "GET" || call.request.method == "DELETE")
        query(call);
    else
        reply(call.ticket, errorResponse(405, "method", utils::makeError(absl::StatusCode::kUnimplemented, "jobs", call.request.path, "only POST, GET and DELETE are known")));
}

shard_owner* scheduler_task::homeShard(const administration_call& call, const std::string& team)
{
    const auto& home = homeOf(m_places, team);
    const auto found = m_owners.find(home.key);
    if (found != m_owners.end() && found->second->isReady())
        return found->second.get();
    const auto* owner = membership::ownerOf(home, m_membership.view);
    if (owner != nullptr && owner->id != context().settings.daemonId && !call.isForwarded) {
        context().mailboxes.administration.post(administration_redirect { call.ticket, owner->id });
        return nullptr;
    }
    reply(call.ticket, errorResponse(503, "no_owner", utils::makeError(absl::StatusCode::kUnavailable, "find the owner", home.key, "the shard changes its owner or the store is unavailable; nothing was done, try again")));
    return nullptr;
}

bool scheduler_task::canEverRun(const model::resources& size) const
{
    for (const auto& [shard, hosts] : m_hostsByShard) {
        if (std::any_of(hosts.begin(), hosts.end(), [&](const model::host& host) { return size.fitsIn(host.capacity); }))
            return true;
    }
    return m_hostsByShard.empty();
}

void scheduler_task::submit(const administration_call& call)
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
        refuse(503, "not_configured", "no configuration is in force yet");
        return;
    }
    const auto kind = m_configuration->batchKinds.find(submission->kind);
    if (m_configuration->teams.count(submission->team) == 0 || kind == m_configuration->batchKinds.end()) {
        refuse(422, "unknown_name", absl::StrCat("the configuration has no team ", submission->team, " or no kind ", submission->kind));
        return;
    }
    if (!canEverRun(kind->second.size)) {
        refuse(422, "never_fits", "no worker can ever carry a task of this kind");
        return;
    }
    if (auto* owner = homeShard(call, submission->team))
        acceptJob(call.ticket, *owner, *submission);
}

void scheduler_task::acceptJob(std::uint64_t ticket, shard_owner& owner, const job_submission& submission)
{
    const placement::job_accepted accepted { jobKey(submission.team, submission.id), submission.team, submission.kind, submission.tasks };
    if (const auto* known = owner.state().findJob(accepted.job)) {
        const bool isSame = known->kind == accepted.kind && known->tasks.size() == accepted.tasks;
        if (isSame)
            reply(ticket, transport::jsonResponse(200, renderJob(*known)));
        else
            reply(ticket, errorResponse(409, "other_job", utils::makeError(absl::StatusCode::kAlreadyExists, "submit a job", accepted.job, "the id names a job of another kind or size")));
        return;
    }
    if (!owner.isStoreReachable()) {
        reply(ticket, errorResponse(503, "store_unavailable", utils::makeError(absl::StatusCode::kUnavailable, "submit a job", owner.name(), "the store does not answer; the job was not accepted")));
        return;
    }
    owner.append(accepted, [this, ticket, accepted, name = owner.name()](const absl::Status& status) {
        const auto found = m_owners.find(name);
        const auto* job = found == m_owners.end() ? nullptr : found->second->state().findJob(accepted.job);
        if (status.ok() && job != nullptr)
            reply(ticket, transport::jsonResponse(201, renderJob(*job)));
        else if (absl::IsUnknown(status))
            reply(ticket, errorResponse(504, "unknown", status));
        else
            reply(ticket, errorResponse(503, "not_accepted", status));
    });
}

void scheduler_task::query(const administration_call& call)
{
    const auto address = parseJobAddress(call.request);
    if (!address.ok()) {
        reply(call.ticket, errorResponse(400, "bad_request", address.status()));
        return;
    }
    auto* owner = homeShard(call, address->team);
    if (owner == nullptr)
        return;
    if (address->id.empty()) {
        reply(call.ticket, transport::jsonResponse(200, renderJobs(owner->state(), address->team)));
        return;
    }
    const auto key = jobKey(address->team, address->id);
    const auto* job = owner->state().findJob(key);
    if (job == nullptr)
        reply(call.ticket, errorResponse(404, "unknown_job", utils::makeError(absl::StatusCode::kNotFound, "read a job", key, "no such job")));
    else if (call.request.method == "DELETE" && !job->isCancelled && !job->isEnded())
        cancelJob(call.ticket, *owner, key);
    else
        reply(call.ticket, transport::jsonResponse(200, renderJob(*job)));
}

void scheduler_task::cancelJob(std::uint64_t ticket, shard_owner& owner, const std::string& job)
{
    owner.append(placement::job_cancelled { job }, [this, ticket, job, name = owner.name()](const absl::Status& status) {
        const auto found = m_owners.find(name);
        if (status.ok() && found != m_owners.end())
            reply(ticket, transport::jsonResponse(200, renderJob(*found->second->state().findJob(job))));
        else
            reply(ticket, errorResponse(absl::IsUnknown(status) ? 504 : 503, "not_cancelled", status));
    });
}

void scheduler_task::close()
{
    releaseAll();
}

} // namespace camphorsaddle::tasks
