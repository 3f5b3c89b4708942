#include "shard_world.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace camphorsaddle::placement {

namespace {

    using utils::milliseconds;

    constexpr milliseconds tickInterval { 50 };
    constexpr milliseconds journalDelay { 10 };
    constexpr milliseconds settleLimit { 3600000 };
    constexpr milliseconds settledRun { 400 };

    //! The task as its home shard names it.
    std::string canonical(const std::string& task)
    {
        const auto parsed = parseTask(task);
        const auto guest = parsed.ok() ? parseGuest(parsed->job) : absl::StatusOr<attempt_name>(parsed.status());
        return guest.ok() ? guest->task : task;
    }

} // namespace

shard_world::shard_world(standins::virtual_clock& clock, std::string name, unsigned seed, const model::configuration& configuration, std::size_t workers)
    : m_clock(clock)
    , m_name(std::move(name))
    , m_generator(seed)
    , m_terms { milliseconds(2000), milliseconds(500), milliseconds(4000), milliseconds(50), milliseconds(900) }
    , m_configuration(std::make_shared<model::configuration>(configuration))
{
    for (std::size_t index = 0; index < workers; ++index) {
        auto& host = m_workers[absl::StrCat(m_name, "-", index)].host;
        host.id = absl::StrCat(m_name, "-", index);
        host.url = "http://worker";
        host.capacity = { 4000, 4096, 1 };
    }
    takeOver();
    tick();
}

void shard_world::run(milliseconds duration)
{
    m_clock.runFor(duration);
}

void shard_world::tick()
{
    m_clock.callLater(tickInterval, [this] { tick(); });
    writeJournal();
    for (auto& [name, host] : m_workers) {
        expire(host);
        for (auto& [key, held] : host.attempts) {
            if (m_isSettling && held.phase == attempt_phase::Running && m_clock.now() >= held.started + settledRun)
                held.phase = attempt_phase::Finished;
        }
    }
    std::vector<model::host> listed;
    for (const auto& [name, host] : m_workers) {
        if (host.isListed)
            listed.push_back(host.host);
    }
    for (const auto& one : std::vector(m_owners)) {
        if (one->isPaused)
            continue;
        deliver(one, [this, one, listed] {
            one->coordinator.setWorkers(listed);
            if (m_peer != nullptr)
                one->coordinator.setShards({ { m_peer->m_name, m_peer->m_owners.back()->coordinator.freeForGuests() } });
            one->coordinator.drive(m_clock.now(), !m_isOut);
        });
    }
}

void shard_world::append(const owner_pointer& by, const batch_entry& change)
{
    by->waiting.push_back(change);
}

// The journal takes entries of its last owner only, whether or not that one is paused.
void shard_world::writeJournal()
{
    if (m_isOut)
        return;
    for (const auto& one : m_owners) {
        const bool isLast = one == m_owners.back();
        while (!one->waiting.empty()) {
            const auto change = one->waiting.front();
            one->waiting.pop_front();
            if (isLast) {
                if (const auto* placed = std::get_if<task_placed>(&change); placed != nullptr && m_truth.findTask(placed->task)->machine.phase() == task_phase::Pending) {
                    const attempt_name name { formatTask(placed->task), placed->attempt };
                    m_expectedCheckpoints[name] = m_truth.findTask(placed->task)->checkpoint;
                    m_places[name] = placed->worker;
                }
                if (const auto* step = std::get_if<task_evicting>(&change); step != nullptr && step->step == eviction_step::Begun)
                    ++m_evictions;
                m_log.push_back(change);
                (void)m_truth.apply(change);
            }
            m_clock.callLater(journalDelay, [this, one, change, isLast] {
                deliver(one, [this, one, change, isLast] {
                    if (!isLast) {
                        one->coordinator.release();
                        one->isDead = true;
                        return;
                    }
                    (void)one->coordinator.apply(change);
                    one->coordinator.onAppended(change, true, m_clock.now());
                });
            });
        }
    }
}

void shard_world::deliver(const owner_pointer& to, const std::function<void()>& event)
{
    if (to->isDead)
        return;
    if (to->isPaused) {
        to->deferred.push_back(event);
        return;
    }
    event();
    carryOut(to);
}

void shard_world::carryOut(const owner_pointer& by)
{
    for (auto commands = by->coordinator.takeCommands(); !commands.empty(); commands = by->coordinator.takeCommands()) {
        for (const auto& one : commands)
            std::visit([&](const auto& kind) { carryOut(by, kind); }, one);
    }
}

void shard_world::carryOut(const owner_pointer& by, const append_entry& command)
{
    append(by, command.change);
}

void shard_world::carryOut(const owner_pointer& by, const start_attempt& command)
{
    if (absl::StartsWith(command.placed.worker, shardPrefix)) {
        offer(by, command);
        return;
    }
    auto outcome = std::make_shared<start_outcome>(start_outcome::Unknown);
    call(
        by, command.placed.worker, [this, by, command, outcome] { arriveStart(*by, command, *outcome); },
        [this, by, command, outcome](bool isAnswered) {
            by->coordinator.onStarted(command.placed, isAnswered ? *outcome : start_outcome::Unknown, m_clock.now());
        });
}

void shard_world::arriveStart(const owner& by, const start_attempt& command, start_outcome& outcome)
{
    const auto& placed = command.placed;
    auto& host = m_workers.at(placed.worker);
    const attempt_name name { formatTask(placed.task), placed.attempt };
    if (host.barred.count(name) > 0) {
        outcome = start_outcome::Refused;
        return;
    }
    if (!m_started.insert(name).second)
        violate(absl::StrCat(name.task, " attempt ", name.attempt, " was started twice"));
    if (m_places.count(name) == 0 || m_places[name] != placed.worker)
        violate(absl::StrCat(name.task, " attempt ", name.attempt, " was started without its entry"));
    if (m_expectedCheckpoints[name] != command.checkpoint)
        violate(absl::StrCat(name.task, " started from ", command.checkpoint, ", not from ", m_expectedCheckpoints[name]));
    for (auto* world : { this, m_peer, m_home }) {
        if (world != nullptr)
            world->checkPlaces(canonical(name.task), placed.worker);
    }
    if (!command.checkpoint.empty())
        ++m_resumed;
    host.attempts[name] = { attempt_phase::Running, by.epoch, placed.size, m_clock.now() + m_terms.lease + draw(0, 50), m_clock.now(), command.checkpoint };
    model::resources used;
    for (const auto& [key, held] : host.attempts)
        used = held.phase == attempt_phase::Running ? used + held.size : used;
    if (m_home == nullptr && !m_truth.chargedFor("team").fitsIn(m_configuration->teams.at("team").quota))
        violate("the team uses more than its quota");
    if (!used.fitsIn(host.host.capacity))
        violate(absl::StrCat(placed.worker, " carries more than its capacity"));
    outcome = start_outcome::Confirmed;
}

void shard_world::carryOut(const owner_pointer& by, const read_inventory& command)
{
    if (absl::StartsWith(command.worker, shardPrefix)) {
        reportGuests(by, {});
        return;
    }
    auto held = std::make_shared<std::vector<attempt_status>>();
    call(
        by, command.worker, [this, command, held] { *held = report(m_workers.at(command.worker)); },
        [this, by, command, held](bool isAnswered) {
            by->coordinator.onReport(command.worker, isAnswered ? std::optional(*held) : std::nullopt, m_clock.now());
        });
}

void shard_world::carryOut(const owner_pointer& by, const renew_leases& command)
{
    if (absl::StartsWith(command.worker, shardPrefix)) {
        reportGuests(by, command.acknowledged);
        return;
    }
    auto held = std::make_shared<std::vector<attempt_status>>();
    const auto arrive = [this, command, held] {
        auto& host = m_workers.at(command.worker);
        for (const auto& name : command.acknowledged)
            host.attempts.erase(name);
        for (auto& [name, one] : host.attempts)
            one.leaseEnd = m_clock.now() + m_terms.lease + draw(0, 50);
        *held = report(host);
    };
    call(by, command.worker, arrive, [this, by, command, held](bool isAnswered) {
        by->coordinator.onReport(command.worker, isAnswered ? std::optional(*held) : std::nullopt, m_clock.now());
    });
}

void shard_world::carryOut(const owner_pointer& by, const take_checkpoint& command)
{
    auto taken = std::make_shared<std::optional<std::string>>();
    auto& host = m_workers.at(command.worker);
    // A worker that never answers holds the call open.
    if (host.checkpoints == checkpoint_state::Silent)
        return;
    const auto arrive = [this, command, taken] {
        auto& target = m_workers.at(command.worker);
        const auto found = target.attempts.find({ formatTask(command.task), command.attempt });
        if (found != target.attempts.end() && found->second.phase == attempt_phase::Running && target.checkpoints == checkpoint_state::Good)
            *taken = absl::StrCat("checkpoint-", ++m_checkpointCount);
    };
    call(by, command.worker, arrive, [by, command, taken](bool isAnswered) {
        by->coordinator.onCheckpoint(command.task, command.attempt, isAnswered ? *taken : std::nullopt);
    });
}

void shard_world::carryOut(const owner_pointer& by, const stop_attempt& command)
{
    if (absl::StartsWith(command.worker, shardPrefix)) {
        recall(by, command);
        return;
    }
    auto outcome = std::make_shared<stop_outcome>(stop_outcome::Unknown);
    const auto arrive = [this, command, outcome] {
        auto& host = m_workers.at(command.worker);
        host.barred.insert(command.name);
        *outcome = host.attempts.erase(command.name) > 0 ? stop_outcome::Stopped : stop_outcome::Absent;
    };
    call(by, command.worker, arrive, [this, by, command, outcome](bool isAnswered) {
        if (command.task.has_value())
            by->coordinator.onStopped(*command.task, command.name.attempt, isAnswered ? *outcome : stop_outcome::Unknown, m_clock.now());
    });
}

void shard_world::call(const owner_pointer& by, const std::string& worker, std::function<void()> arrive, std::function<void(bool)> answer)
{
    const auto link = m_workers.at(worker).link;
    const auto limit = m_terms.callTimeout;
    const auto way = link == link_state::AnswersLost ? draw(1, static_cast<int>(limit.count())) : draw(1, 30);
    if (link != link_state::CommandsLost) {
        m_clock.callLater(way, [this, worker, arrive = std::move(arrive)] {
            expire(m_workers.at(worker));
            arrive();
        });
    }
    const bool isAnswered = link == link_state::Good;
    m_clock.callLater(isAnswered ? way + draw(1, 30) : limit, [this, by, isAnswered, answer = std::move(answer)] {
        deliver(by, [answer, isAnswered] { answer(isAnswered); });
    });
}

void shard_world::expire(worker& host)
{
    for (auto current = host.attempts.begin(); current != host.attempts.end();) {
        const bool isOver = current->second.phase == attempt_phase::Running && m_clock.now() >= current->second.leaseEnd;
        current = isOver ? host.attempts.erase(current) : std::next(current);
    }
}

std::vector<attempt_status> shard_world::report(const worker& host) const
{
    std::vector<attempt_status> held;
    for (const auto& [name, one] : host.attempts)
        held.push_back({ name, one.epoch, one.phase, {}, {} });
    return held;
}

std::vector<std::pair<shard_world::worker*, attempt_name>> shard_world::running()
{
    std::vector<std::pair<worker*, attempt_name>> found;
    for (auto& [id, host] : m_workers) {
        expire(host);
        for (const auto& [name, held] : host.attempts) {
            if (held.phase == attempt_phase::Running)
                found.emplace_back(&host, name);
        }
    }
    return found;
}

void shard_world::submit(std::uint32_t tasks, const std::string& kind)
{
    append(m_owners.back(), job_accepted { absl::StrCat("team/job-", m_jobs++), "team", kind, tasks });
}

void shard_world::cancel(std::size_t choice)
{
    if (m_jobs > 0)
        append(m_owners.back(), job_cancelled { absl::StrCat("team/job-", choice % m_jobs) });
}

void shard_world::end(std::size_t choice, bool isFailed)
{
    const auto all = running();
    if (all.empty())
        return;
    const auto& [host, name] = all[choice % all.size()];
    host->attempts.at(name).phase = isFailed ? attempt_phase::Failed : attempt_phase::Finished;
}

void shard_world::evict(std::size_t choice, bool isForced)
{
    const auto all = running();
    if (!all.empty() && !m_owners.back()->isDead)
        m_owners.back()->coordinator.evict(*parseTask(all[choice % all.size()].second.task), isForced);
}

void shard_world::takeOver()
{
    auto next = std::make_shared<owner>(m_name, m_terms);
    next->epoch = m_owners.size() + 1;
    next->coordinator.setConfiguration(m_configuration);
    for (const auto& change : m_log)
        (void)next->coordinator.apply(change);
    m_owners.push_back(next);
    deliver(next, [this, next] { next->coordinator.takeOver(next->epoch, m_clock.now()); });
}

void shard_world::pause()
{
    m_owners.back()->isPaused = true;
}

void shard_world::resume()
{
    for (const auto& one : m_owners) {
        one->isPaused = false;
        for (const auto& event : std::exchange(one->deferred, {}))
            deliver(one, event);
    }
}

void shard_world::crash()
{
    m_owners.back()->isDead = true;
    takeOver();
}

void shard_world::setOutage(bool isOut)
{
    m_isOut = isOut;
}

void shard_world::setLink(std::size_t choice, link_state state)
{
    pick(choice).link = state;
}

void shard_world::setCheckpoints(std::size_t choice, checkpoint_state state)
{
    pick(choice).checkpoints = state;
}

void shard_world::restartWorker(std::size_t choice)
{
    pick(choice).attempts.clear();
}

void shard_world::toggleListed(std::size_t choice)
{
    auto& host = pick(choice);
    host.isListed = !host.isListed;
}

void shard_world::mend()
{
    m_isSettling = true;
    setOutage(false);
    resume();
    for (auto& [name, host] : m_workers) {
        host.link = link_state::Good;
        host.checkpoints = checkpoint_state::Good;
    }
    m_workers.begin()->second.isListed = true;
    m_peerLink = link_state::Good;
    if (m_owners.back()->isDead)
        takeOver();
}

bool shard_world::settle()
{
    mend();
    const auto isEnded = [](const auto& one) {
        const auto& tasks = one.second.tasks;
        return std::all_of(tasks.begin(), tasks.end(), [](const task_record& task) { return task.machine.isFinal() || task.machine.phase() == task_phase::Parked; });
    };
    for (milliseconds passed { 0 }; passed < settleLimit; passed += milliseconds(1000)) {
        run(milliseconds(1000));
        const bool isWritten = m_owners.back()->waiting.empty();
        if (isWritten && std::all_of(m_truth.jobs().begin(), m_truth.jobs().end(), isEnded))
            return true;
    }
    return false;
}

void shard_world::setPeer(shard_world& peer)
{
    m_peer = &peer;
    peer.m_home = this;
}

void shard_world::setPeerLink(link_state state)
{
    m_peerLink = state;
}

shard_world::worker& shard_world::pick(std::size_t choice)
{
    return std::next(m_workers.begin(), static_cast<std::ptrdiff_t>(choice % m_workers.size()))->second;
}

milliseconds shard_world::draw(int least, int most)
{
    return milliseconds(std::uniform_int_distribution<int>(least, most)(m_generator));
}

void shard_world::violate(const std::string& text)
{
    if (m_violation.empty())
        m_violation = text;
}

} // namespace camphorsaddle::placement
