#include "tasks/scheduler/shard_owner.h"

#include "absl/strings/str_cat.h"
#include "tasks/scheduler/batch_codec.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    using placement::start_outcome;
    using placement::stop_outcome;

    placement::lease_terms toLeaseTerms(const shard_environment& environment)
    {
        const auto& cluster = environment.cluster;
        return { cluster.workerLeaseDuration, cluster.renewalInterval, cluster.renewalHorizon, cluster.clockDriftAllowance, environment.workerCallTimeout };
    }

    placement::attempt_status toAttemptStatus(const external::attempt_report& report)
    {
        return { { report.key.task, report.key.attempt }, report.key.epoch, static_cast<placement::attempt_phase>(report.state), report.checkpoint, report.cause };
    }

    start_outcome toStartOutcome(const absl::Status& status)
    {
        if (status.ok())
            return start_outcome::Confirmed;
        return absl::IsFailedPrecondition(status) || absl::IsUnavailable(status) ? start_outcome::Refused : start_outcome::Unknown;
    }

    stop_outcome toStopOutcome(const absl::StatusOr<external::stop_result>& result)
    {
        if (!result.ok())
            return stop_outcome::Unknown;
        return *result == external::stop_result::Absent ? stop_outcome::Absent : stop_outcome::Stopped;
    }

    void logAttemptEnd(const placement::task_ended& ended, const placement::shard_state& state)
    {
        const auto task = formatTaskId(ended.task);
        const bool hasResult = ended.cause == placement::attempt_end_cause::Finished || ended.cause == placement::attempt_end_cause::Failed || ended.cause == placement::attempt_end_cause::WorkerFault;
        if (hasResult)
            utils::logEvent(utils::events::taskEnded, { { "task", task }, { "worker", state.findTask(ended.task)->worker }, { "finished", ended.cause == placement::attempt_end_cause::Finished ? "true" : "false" } });
        else
            utils::logEvent(utils::events::taskReturned, { { "task", task }, { "cause", std::string(toString(ended.cause)) } });
    }

} // namespace

shard_owner::shard_owner(shard_environment environment, std::string name, std::string writer)
    : m_environment(environment)
    , m_name(std::move(name))
    , m_coordinator(m_name, toLeaseTerms(environment))
{
    journal::options options;
    options.name = m_name;
    options.writer = std::move(writer);
    m_log = std::make_unique<journal::log>(m_environment.store, m_environment.executor, m_environment.budget, options, *this);
}

shard_owner::~shard_owner()
{
    // Destroying the journal calls the callbacks of pending appends, which use the other members.
    m_coordinator.release();
    m_log.reset();
}

void shard_owner::open()
{
    m_log->open(0, [this](const absl::StatusOr<std::uint64_t>& epoch) { onOpened(epoch); });
}

void shard_owner::onOpened(const absl::StatusOr<std::uint64_t>& epoch)
{
    if (!epoch.ok()) {
        ownershipLost(epoch.status());
        return;
    }
    m_coordinator.takeOver(*epoch, m_environment.executor.now());
    executeCommands();
}

void shard_owner::restore(absl::string_view snapshot)
{
    auto state = decodeSnapshot(snapshot);
    if (state.ok())
        m_coordinator.restore(*std::move(state));
    else
        ownershipLost(state.status());
}

void shard_owner::apply(std::uint64_t, absl::string_view text)
{
    const auto change = decodeEntry(text);
    const auto status = change.ok() ? m_coordinator.apply(*change) : change.status();
    if (!status.ok())
        utils::logEvent(utils::events::journalCorrupt, { { "shard", m_name }, { "cause", utils::describe(status) } });
}

std::string shard_owner::snapshot()
{
    return encodeSnapshot(m_coordinator.state());
}

void shard_owner::ownershipLost(const absl::Status& cause)
{
    m_coordinator.release();
    m_hasLostOwnership = true;
    utils::logEvent(utils::events::journalDeposed, { { "shard", m_name }, { "cause", utils::describe(cause) } });
}

bool shard_owner::isReady() const
{
    return m_coordinator.isReady();
}

bool shard_owner::hasLostOwnership() const
{
    return m_hasLostOwnership;
}

bool shard_owner::isStoreReachable() const
{
    return m_log->isStoreReachable();
}

std::uint64_t shard_owner::epoch() const
{
    return m_log->epoch();
}

void shard_owner::setConfiguration(std::shared_ptr<const model::configuration> configuration)
{
    m_configuration = configuration;
    m_coordinator.setConfiguration(std::move(configuration));
}

void shard_owner::setEvacuations(const placement::evacuations& evacuations)
{
    m_coordinator.setEvacuations(evacuations);
}

void shard_owner::setWorkers(const std::vector<model::host>& hosts)
{
    m_coordinator.setWorkers(hosts);
}

void shard_owner::append(const placement::batch_entry& change, journal::log::append_callback callback)
{
    m_log->append(encodeEntry(change), std::move(callback));
}

void shard_owner::runCycle()
{
    m_coordinator.runCycle(m_environment.executor.now(), isStoreReachable());
    executeCommands();
}

void shard_owner::executeCommands()
{
    for (const auto& command : m_coordinator.takeCommands())
        std::visit([this](const auto& alternative) { execute(alternative); }, command);
}

void shard_owner::execute(const placement::append_entry& command)
{
    append(command.change, [this, change = command.change](const absl::Status& status) {
        m_coordinator.onAppended(change, status.ok(), m_environment.executor.now());
        if (!status.ok())
            return;
        if (std::holds_alternative<placement::owner_changed>(change))
            utils::logEvent(utils::events::shardTaken, { { "shard", m_name }, { "epoch", absl::StrCat(m_log->epoch()) } });
        if (const auto* ended = std::get_if<placement::task_ended>(&change))
            logAttemptEnd(*ended, m_coordinator.state());
        executeCommands();
    });
}

external::start_command shard_owner::makeStartCommand(const placement::start_attempt& command) const
{
    const auto& placed = command.placed;
    const auto& kind = m_coordinator.state().findJob(placed.task.job)->kind;
    const auto found = m_configuration->batchKinds.find(kind);
    external::start_command message;
    message.key = { formatTaskId(placed.task), placed.attempt, m_log->epoch() };
    message.shard = m_name;
    message.kind = kind;
    message.size = placed.size;
    message.runTime = found == m_configuration->batchKinds.end() ? utils::milliseconds(0) : found->second.runTime;
    message.lease = m_environment.cluster.workerLeaseDuration;
    message.checkpoint = command.checkpoint;
    return message;
}

// Checks the send deadline again, because the process may have been paused since the command was issued.
void shard_owner::execute(const placement::start_attempt& command)
{
    const auto now = m_environment.executor.now();
    const auto* worker = m_coordinator.findWorker(command.placed.worker);
    if (worker == nullptr || now >= command.sendDeadline) {
        m_coordinator.onStarted(command.placed, start_outcome::Refused, now);
        executeCommands();
        return;
    }
    m_environment.workers.start(*worker, makeStartCommand(command), wrapCallback([this, placed = command.placed](const absl::Status& status) {
        if (status.ok())
            utils::logEvent(utils::events::taskStarted, { { "task", formatTaskId(placed.task) }, { "attempt", absl::StrCat(placed.attempt) }, { "worker", placed.worker } });
        m_coordinator.onStarted(placed, toStartOutcome(status), m_environment.executor.now());
    }));
}

void shard_owner::execute(const placement::read_inventory& command)
{
    const auto* worker = m_coordinator.findWorker(command.worker);
    if (worker == nullptr)
        return;
    m_environment.workers.inventory(*worker, wrapCallback([this, name = command.worker](const absl::StatusOr<external::worker_inventory>& inventory) {
        if (inventory.ok())
            onReport(name, inventory->tasks);
        else
            onReport(name, inventory.status());
    }));
}

void shard_owner::execute(const placement::renew_leases& command)
{
    const auto* worker = m_coordinator.findWorker(command.worker);
    const auto now = m_environment.executor.now();
    if (worker == nullptr || now >= command.sendDeadline) {
        m_coordinator.onReport(command.worker, std::nullopt, now);
        return;
    }
    external::renew_command message { m_name, m_log->epoch(), m_environment.cluster.workerLeaseDuration, {} };
    for (const auto& attempt : command.acknowledged)
        message.acknowledged.push_back({ attempt.task, attempt.attempt, m_log->epoch() });
    m_environment.workers.renew(*worker, message, wrapCallback([this, name = command.worker](const absl::StatusOr<external::worker_report>& report) {
        if (report.ok())
            onReport(name, report->tasks);
        else
            onReport(name, report.status());
    }));
}

void shard_owner::execute(const placement::take_checkpoint& command)
{
    const auto* worker = m_coordinator.findWorker(command.worker);
    if (worker == nullptr)
        return;
    const external::attempt_key key { formatTaskId(command.task), command.attempt, m_log->epoch() };
    m_environment.workers.checkpoint(*worker, key, wrapCallback([this, task = command.task, attempt = command.attempt](const absl::StatusOr<std::string>& checkpoint) {
        m_coordinator.onCheckpoint(task, attempt, checkpoint.ok() ? std::optional(*checkpoint) : std::nullopt);
    }));
}

void shard_owner::execute(const placement::stop_attempt& command)
{
    const auto* worker = m_coordinator.findWorker(command.worker);
    const auto now = m_environment.executor.now();
    if (worker == nullptr || now >= command.sendDeadline) {
        if (command.task.has_value())
            m_coordinator.onStopped(*command.task, command.id.attempt, stop_outcome::Unknown, now);
        return;
    }
    const external::attempt_key key { command.id.task, command.id.attempt, m_log->epoch() };
    m_environment.workers.stop(*worker, key, wrapCallback([this, task = command.task, attempt = command.id.attempt](const absl::StatusOr<external::stop_result>& result) {
        if (task.has_value())
            m_coordinator.onStopped(*task, attempt, toStopOutcome(result), m_environment.executor.now());
    }));
}

// Not implemented: daemons don't delegate tasks to each other yet.
void shard_owner::execute(const placement::answer_home_shard&)
{
}

void shard_owner::onReport(const std::string& worker, const absl::StatusOr<std::vector<external::attempt_report>>& reports)
{
    const auto now = m_environment.executor.now();
    if (!reports.ok()) {
        m_coordinator.onReport(worker, std::nullopt, now);
        return;
    }
    std::vector<placement::attempt_status> statuses;
    for (const auto& report : *reports)
        statuses.push_back(toAttemptStatus(report));
    m_coordinator.onReport(worker, statuses, now);
}

} // namespace camphorsaddle::tasks
