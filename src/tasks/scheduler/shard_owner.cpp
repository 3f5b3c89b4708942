#include "tasks/scheduler/shard_owner.h"

#include "absl/strings/str_cat.h"
#include "tasks/scheduler/batch_codec.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    using placement::start_outcome;
    using placement::stop_outcome;

    placement::lease_terms termsOf(const shard_environment& environment)
    {
        const auto& cluster = environment.cluster;
        return { cluster.workerLeaseDuration, cluster.renewalInterval, cluster.renewalHorizon, cluster.clockDriftAllowance, environment.workerTimeout };
    }

    placement::attempt_status statusOf(const external::attempt_report& report)
    {
        return { { report.key.task, report.key.attempt }, report.key.epoch, static_cast<placement::attempt_phase>(report.state), report.checkpoint, report.cause };
    }

    start_outcome outcomeOf(const absl::Status& status)
    {
        if (status.ok())
            return start_outcome::Confirmed;
        return absl::IsFailedPrecondition(status) || absl::IsUnavailable(status) ? start_outcome::Refused : start_outcome::Unknown;
    }

    stop_outcome outcomeOf(const absl::StatusOr<external::stop_result>& result)
    {
        if (!result.ok())
            return stop_outcome::Unknown;
        return *result == external::stop_result::Absent ? stop_outcome::Absent : stop_outcome::Stopped;
    }

    void logEnd(const placement::task_ended& ended, const placement::shard_state& state)
    {
        const auto task = formatTask(ended.task);
        const bool isEnd = ended.cause == placement::attempt_end_cause::Finished || ended.cause == placement::attempt_end_cause::Failed || ended.cause == placement::attempt_end_cause::WorkerFault;
        if (isEnd)
            utils::logEvent(utils::events::taskEnded, { { "task", task }, { "worker", state.findTask(ended.task)->worker }, { "finished", ended.cause == placement::attempt_end_cause::Finished ? "true" : "false" } });
        else
            utils::logEvent(utils::events::taskReturned, { { "task", task }, { "cause", std::string(toString(ended.cause)) } });
    }

} // namespace

shard_owner::shard_owner(shard_environment environment, std::string name, std::string writer)
    : m_environment(environment)
    , m_name(std::move(name))
    , m_coordinator(m_name, termsOf(environment))
{
    journal::options options;
    options.name = m_name;
    options.writer = std::move(writer);
    m_log = std::make_unique<journal::log>(m_environment.store, m_environment.executor, m_environment.budget, options, *this);
}

shard_owner::~shard_owner()
{
    // Ends the pending appends, whose callbacks use the other members.
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
    carryOut();
}

void shard_owner::restore(absl::string_view snapshot)
{
    auto state = decodeSnapshot(snapshot);
    if (state.ok())
        m_coordinator.restore(*std::move(state));
    else
        ownershipLost(state.status());
}

void shard_owner::apply(std::uint64_t, absl::string_view batch_entry)
{
    const auto change = decodeEntry(batch_entry);
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
    m_isDeposed = true;
    utils::logEvent(utils::events::journalDeposed, { { "shard", m_name }, { "cause", utils::describe(cause) } });
}

bool shard_owner::isReady() const
{
    return m_coordinator.isReady();
}

bool shard_owner::isDeposed() const
{
    return m_isDeposed;
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

void shard_owner::setWorkers(const std::vector<model::host>& hosts)
{
    m_coordinator.setWorkers(hosts);
}

void shard_owner::append(const placement::batch_entry& change, journal::log::append_callback callback)
{
    m_log->append(encodeEntry(change), std::move(callback));
}

void shard_owner::drive()
{
    m_coordinator.drive(m_environment.executor.now(), isStoreReachable());
    carryOut();
}

void shard_owner::carryOut()
{
    for (const auto& command : m_coordinator.takeCommands())
        std::visit([this](const auto& kind) { carryOut(kind); }, command);
}

void shard_owner::carryOut(const placement::append_entry& command)
{
    append(command.change, [this, change = command.change](const absl::Status& status) {
        m_coordinator.onAppended(change, status.ok(), m_environment.executor.now());
        if (!status.ok())
            return;
        if (std::holds_alternative<placement::owner_changed>(change))
            utils::logEvent(utils::events::shardTaken, { { "shard", m_name }, { "epoch", absl::StrCat(m_log->epoch()) } });
        if (const auto* ended = std::get_if<placement::task_ended>(&change))
            logEnd(*ended, m_coordinator.state());
        carryOut();
    });
}

external::start_command shard_owner::startCommand(const placement::start_attempt& command) const
{
    const auto& placed = command.placed;
    const auto& kind = m_coordinator.state().findJob(placed.task.job)->kind;
    const auto known = m_configuration->batchKinds.find(kind);
    external::start_command message;
    message.key = { formatTask(placed.task), placed.attempt, m_log->epoch() };
    message.shard = m_name;
    message.kind = kind;
    message.size = placed.size;
    message.runTime = known == m_configuration->batchKinds.end() ? utils::milliseconds(0) : known->second.runTime;
    message.lease = m_environment.cluster.workerLeaseDuration;
    message.checkpoint = command.checkpoint;
    return message;
}

// The clock is read again: the process may have been paused since the decision.
void shard_owner::carryOut(const placement::start_attempt& command)
{
    const auto now = m_environment.executor.now();
    const auto* worker = m_coordinator.findWorker(command.placed.worker);
    if (worker == nullptr || now >= command.notAfter) {
        m_coordinator.onStarted(command.placed, start_outcome::Refused, now);
        carryOut();
        return;
    }
    m_environment.workers.start(*worker, startCommand(command), answered([this, placed = command.placed](const absl::Status& status) {
        if (status.ok())
            utils::logEvent(utils::events::taskStarted, { { "task", formatTask(placed.task) }, { "attempt", absl::StrCat(placed.attempt) }, { "worker", placed.worker } });
        m_coordinator.onStarted(placed, outcomeOf(status), m_environment.executor.now());
    }));
}

void shard_owner::carryOut(const placement::read_inventory& command)
{
    const auto* worker = m_coordinator.findWorker(command.worker);
    if (worker == nullptr)
        return;
    m_environment.workers.inventory(*worker, answered([this, name = command.worker](const absl::StatusOr<external::worker_inventory>& inventory) {
        if (inventory.ok())
            onReport(name, inventory->tasks);
        else
            onReport(name, inventory.status());
    }));
}

void shard_owner::carryOut(const placement::renew_leases& command)
{
    const auto* worker = m_coordinator.findWorker(command.worker);
    const auto now = m_environment.executor.now();
    if (worker == nullptr || now >= command.notAfter) {
        m_coordinator.onReport(command.worker, std::nullopt, now);
        return;
    }
    external::renew_command message { m_name, m_log->epoch(), m_environment.cluster.workerLeaseDuration, {} };
    for (const auto& name : command.acknowledged)
        message.acknowledged.push_back({ name.task, name.attempt, m_log->epoch() });
    m_environment.workers.renew(*worker, message, answered([this, name = command.worker](const absl::StatusOr<external::worker_report>& report) {
        if (report.ok())
            onReport(name, report->tasks);
        else
            onReport(name, report.status());
    }));
}

void shard_owner::carryOut(const placement::take_checkpoint& command)
{
    const auto* worker = m_coordinator.findWorker(command.worker);
    if (worker == nullptr)
        return;
    const external::attempt_key key { formatTask(command.task), command.attempt, m_log->epoch() };
    m_environment.workers.checkpoint(*worker, key, answered([this, task = command.task, attempt = command.attempt](const absl::StatusOr<std::string>& checkpoint) {
        m_coordinator.onCheckpoint(task, attempt, checkpoint.ok() ? std::optional(*checkpoint) : std::nullopt);
    }));
}

void shard_owner::carryOut(const placement::stop_attempt& command)
{
    const auto* worker = m_coordinator.findWorker(command.worker);
    const auto now = m_environment.executor.now();
    if (worker == nullptr || now >= command.notAfter) {
        if (command.task.has_value())
            m_coordinator.onStopped(*command.task, command.name.attempt, stop_outcome::Unknown, now);
        return;
    }
    const external::attempt_key key { command.name.task, command.name.attempt, m_log->epoch() };
    m_environment.workers.stop(*worker, key, answered([this, task = command.task, attempt = command.name.attempt](const absl::StatusOr<external::stop_result>& result) {
        if (task.has_value())
            m_coordinator.onStopped(*task, attempt, outcomeOf(result), m_environment.executor.now());
    }));
}

// No daemon offers tasks to another yet.
void shard_owner::carryOut(const placement::answer_home&)
{
}

void shard_owner::onReport(const std::string& worker, const absl::StatusOr<std::vector<external::attempt_report>>& reports)
{
    const auto now = m_environment.executor.now();
    if (!reports.ok()) {
        m_coordinator.onReport(worker, std::nullopt, now);
        return;
    }
    std::vector<placement::attempt_status> held;
    for (const auto& report : *reports)
        held.push_back(statusOf(report));
    m_coordinator.onReport(worker, held, now);
}

} // namespace camphorsaddle::tasks
