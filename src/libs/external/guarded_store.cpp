#include "external/guarded_store.h"

#include <array>
#include <map>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/hashing.h"

namespace camphorsaddle::external {

namespace {

    const absl::Status& statusOf(const absl::Status& answer)
    {
        return answer;
    }

    template <typename Value>
    const absl::Status& statusOf(const absl::StatusOr<Value>& answer)
    {
        return answer.status();
    }

    //! Whether the store itself answered, if only by a refusal.
    bool isAnswer(const absl::Status& status)
    {
        switch (status.code()) {
        case absl::StatusCode::kUnavailable:
        case absl::StatusCode::kDeadlineExceeded:
        case absl::StatusCode::kUnknown:
        case absl::StatusCode::kInternal:
            return false;
        default:
            return true;
        }
    }

} // namespace

absl::string_view toString(guard_event event)
{
    constexpr std::array<absl::string_view, guardEventCount> names { "refused_by_breaker", "breaker_opened", "breaker_closed", "deadline_passed", "late_answer",
        "silent_watch", "collapsed_read" };
    return names[static_cast<std::size_t>(event)];
}

class guarded_store::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(key_value_store& store, utils::executor& loop, utils::metric_registry& metrics, guard_settings settings)
        : m_store(store)
        , m_loop(loop)
        , m_settings(settings)
        , m_breaker(settings.breaker)
        , m_random(settings.seed)
        , m_calls(metrics, "camphorsaddle_store_guarded_calls_total")
        , m_events(metrics, "camphorsaddle_store_guard_events_total")
    {
    }

    //! Sends through the breaker; the callback runs once, with the answer or with the deadline.
    template <typename Answer>
    void send(store_call kind, std::string step, utils::milliseconds callTimeout, std::function<void(std::function<void(Answer)>)> start, std::function<void(Answer)> callback)
    {
        const bool isWatch = kind == store_call::Watch;
        const bool isAdmitted = isWatch ? m_breaker.state() != breaker_state::Open : m_breaker.admit(m_loop.now());
        if (!isAdmitted) {
            m_events.count(guard_event::RefusedByBreaker);
            later([step = std::move(step), callback = std::move(callback)] {
                callback(utils::makeError(absl::StatusCode::kUnavailable, step, "store", "the circuit breaker is open"));
            });
            return;
        }
        m_calls.count(kind);
        const auto isEnded = std::make_shared<bool>(false);
        const auto end = [weak = weak_from_this(), isWatch, isEnded, callback = std::move(callback)](Answer answer) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (std::exchange(*isEnded, true)) {
                self->m_events.count(guard_event::LateAnswer);
                return;
            }
            // A silent watch tells nothing about the other calls, and its end holds no place in the window.
            if (!isWatch)
                self->note(statusOf(answer));
            callback(std::move(answer));
        };
        m_loop.callLater(callTimeout, [weak = weak_from_this(), isWatch, isEnded, end, step = std::move(step)] {
            const auto self = weak.lock();
            if (!self || *isEnded)
                return;
            self->m_events.count(isWatch ? guard_event::SilentWatch : guard_event::DeadlinePassed);
            end(utils::makeError(absl::StatusCode::kDeadlineExceeded, step, "store", "no answer within the deadline"));
        });
        start(end);
    }

    //! Joins an equal call in flight or sends one.
    template <typename Value>
    void sendJoined(store_call kind, const std::string& name, std::map<std::string, std::shared_ptr<std::vector<store_callback<Value>>>>& inFlight, std::string step,
        std::function<void(store_callback<Value>)> start, store_callback<Value> callback)
    {
        if (const auto found = inFlight.find(name); found != inFlight.end()) {
            m_events.count(guard_event::CollapsedRead);
            found->second->push_back(std::move(callback));
            return;
        }
        const auto waiting = std::make_shared<std::vector<store_callback<Value>>>(1, std::move(callback));
        inFlight[name] = waiting;
        const std::function<void(absl::StatusOr<Value>)> finish = [this, name, &inFlight, waiting](const absl::StatusOr<Value>& answer) {
            if (const auto found = inFlight.find(name); found != inFlight.end() && found->second == waiting)
                inFlight.erase(found);
            // A callback may destroy the guard.
            for (const auto& each : std::exchange(*waiting, {})) {
                if (!isClosed)
                    each(answer);
            }
        };
        send<absl::StatusOr<Value>>(kind, std::move(step), m_settings.callTimeout, std::move(start), finish);
    }

    //! Later reads of the key see the present state of the store.
    void detachReads(const std::string& key)
    {
        reads.erase(key);
        std::erase_if(lists, [&key](const auto& item) { return absl::StartsWith(key, item.first.substr(0, item.first.find('\n'))); });
    }

    //! Changes a key, with detached reads before and after.
    void change(store_call kind, const std::string& key, std::string step, std::function<void(store_callback<revision>)> start, store_callback<revision> callback)
    {
        detachReads(key);
        const std::function<void(absl::StatusOr<revision>)> finish = [this, key, callback = std::move(callback)](absl::StatusOr<revision> answer) {
            detachReads(key);
            callback(std::move(answer));
        };
        send<absl::StatusOr<revision>>(kind, std::move(step), m_settings.callTimeout, std::move(start), finish);
    }

    void later(std::function<void()> function)
    {
        m_loop.callLater(utils::milliseconds(0), [weak = weak_from_this(), function = std::move(function)] {
            if (const auto self = weak.lock())
                function();
        });
    }

    void note(const absl::Status& status)
    {
        const auto before = m_breaker.state();
        if (isAnswer(status)) {
            m_breaker.succeeded();
        } else {
            m_random = utils::stableHash("pause", m_random);
            m_breaker.failed(m_loop.now(), m_random);
        }
        const auto after = m_breaker.state();
        if (before == after)
            return;
        if (after == breaker_state::Closed) {
            m_events.count(guard_event::BreakerClosed);
            utils::logEvent(utils::events::storeAvailable, { { "step", "breaker" } });
        } else if (before == breaker_state::Closed) {
            m_events.count(guard_event::BreakerOpened);
            utils::logEvent(utils::events::storeUnavailable, { { "step", "breaker" }, { "cause", utils::describe(status) } });
        }
    }

    bool isClosed = false;
    std::map<std::string, std::shared_ptr<std::vector<store_callback<key_value>>>> reads;
    std::map<std::string, std::shared_ptr<std::vector<store_callback<key_listing>>>> lists;

private:
    friend class guarded_store;

    key_value_store& m_store;
    utils::executor& m_loop;
    guard_settings m_settings;
    circuit_breaker m_breaker;
    std::uint64_t m_random;
    utils::reason_counters<store_call, storeCallCount> m_calls;
    utils::reason_counters<guard_event, guardEventCount> m_events;
};

guarded_store::guarded_store(key_value_store& store, utils::executor& loop, utils::metric_registry& metrics, guard_settings settings)
    : m_implementation(std::make_shared<implementation>(store, loop, metrics, settings))
{
}

guarded_store::~guarded_store()
{
    m_implementation->isClosed = true;
}

void guarded_store::read(const std::string& key, store_callback<key_value> callback)
{
    auto& store = m_implementation->m_store;
    m_implementation->sendJoined<key_value>(
        store_call::Read, key, m_implementation->reads, absl::StrCat("read ", key), [&store, key](auto answer) { store.read(key, std::move(answer)); }, std::move(callback));
}

void guarded_store::list(const std::string& prefix, const std::string& start, std::size_t limit, store_callback<key_listing> callback)
{
    auto& store = m_implementation->m_store;
    m_implementation->sendJoined<key_listing>(
        store_call::List, absl::StrCat(prefix, "\n", start, "\n", limit), m_implementation->lists, absl::StrCat("list ", prefix),
        [&store, prefix, start, limit](auto answer) { store.list(prefix, start, limit, std::move(answer)); }, std::move(callback));
}

void guarded_store::write(const write_request& request, store_callback<revision> callback)
{
    auto& store = m_implementation->m_store;
    m_implementation->change(
        store_call::Write, request.key, absl::StrCat("write ", request.key), [&store, request](auto answer) { store.write(request, std::move(answer)); }, std::move(callback));
}

void guarded_store::erase(const std::string& key, revision expectedVersion, store_callback<revision> callback)
{
    auto& store = m_implementation->m_store;
    m_implementation->change(
        store_call::Erase, key, absl::StrCat("erase ", key), [&store, key, expectedVersion](auto answer) { store.erase(key, expectedVersion, std::move(answer)); },
        std::move(callback));
}

void guarded_store::grantLease(utils::milliseconds term, store_callback<lease_id> callback)
{
    auto& state = *m_implementation;
    state.send<absl::StatusOr<lease_id>>(
        store_call::Lease, "grant a lease", state.m_settings.callTimeout, [&state, term](auto answer) { state.m_store.grantLease(term, std::move(answer)); }, std::move(callback));
}

void guarded_store::renewLease(lease_id lease, std::function<void(absl::Status)> callback)
{
    auto& state = *m_implementation;
    state.send<absl::Status>(
        store_call::Lease, absl::StrCat("renew lease ", lease), state.m_settings.callTimeout,
        [&state, lease](auto answer) { state.m_store.renewLease(lease, std::move(answer)); }, std::move(callback));
}

void guarded_store::revokeLease(lease_id lease, std::function<void(absl::Status)> callback)
{
    auto& state = *m_implementation;
    state.send<absl::Status>(
        store_call::Lease, absl::StrCat("end lease ", lease), state.m_settings.callTimeout, [&state, lease](auto answer) { state.m_store.revokeLease(lease, std::move(answer)); },
        std::move(callback));
}

void guarded_store::watch(const std::string& prefix, revision after, utils::milliseconds wait, store_callback<watch_result> callback)
{
    auto& state = *m_implementation;
    state.send<absl::StatusOr<watch_result>>(
        store_call::Watch, absl::StrCat("watch ", prefix), wait + state.m_settings.watchSlack,
        [&state, prefix, after, wait](auto answer) { state.m_store.watch(prefix, after, wait, std::move(answer)); }, std::move(callback));
}

breaker_state guarded_store::state() const
{
    return m_implementation->m_breaker.state();
}

std::uint64_t guarded_store::calls(store_call kind) const
{
    return m_implementation->m_calls.value(kind);
}

std::uint64_t guarded_store::events(guard_event event) const
{
    return m_implementation->m_events.value(event);
}

} // namespace camphorsaddle::external
