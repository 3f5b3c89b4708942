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

    //! Whether the store itself answered, even if it rejected the call.
    bool isStoreAnswer(const absl::Status& status)
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
        , m_jitterState(settings.seed)
        , m_calls(metrics, "camphorsaddle_store_guarded_calls_total")
        , m_events(metrics, "camphorsaddle_store_guard_events_total")
    {
    }

    //! Sends a call if the breaker admits it; the callback runs once, with the answer or with a timeout error.
    template <typename Answer>
    void send(store_call kind, std::string step, utils::milliseconds timeout, std::function<void(std::function<void(Answer)>)> startCall, std::function<void(Answer)> callback)
    {
        const bool isWatch = kind == store_call::Watch;
        const bool isAdmitted = isWatch ? m_breaker.state() != breaker_state::Open : m_breaker.admit(m_loop.now());
        if (!isAdmitted) {
            m_events.count(guard_event::RefusedByBreaker);
            runLater([step = std::move(step), callback = std::move(callback)] {
                callback(utils::makeError(absl::StatusCode::kUnavailable, step, "store", "the circuit breaker is open"));
            });
            return;
        }
        m_calls.count(kind);
        const auto isCompleted = std::make_shared<bool>(false);
        const auto complete = [weak = weak_from_this(), isWatch, isCompleted, callback = std::move(callback)](Answer answer) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (std::exchange(*isCompleted, true)) {
                self->m_events.count(guard_event::LateAnswer);
                return;
            }
            // An unanswered watch says nothing about other calls, and watches do not count towards the recovery window, so the
            // breaker does not learn their results.
            if (!isWatch)
                self->recordResult(statusOf(answer));
            callback(std::move(answer));
        };
        m_loop.callLater(timeout, [weak = weak_from_this(), isWatch, isCompleted, complete, step = std::move(step)] {
            const auto self = weak.lock();
            if (!self || *isCompleted)
                return;
            self->m_events.count(isWatch ? guard_event::SilentWatch : guard_event::DeadlinePassed);
            complete(utils::makeError(absl::StatusCode::kDeadlineExceeded, step, "store", "the store did not answer within the timeout"));
        });
        startCall(complete);
    }

    //! Shares the answer of an identical call in flight, or sends the call if there is none.
    template <typename Value>
    void sendCollapsed(store_call kind, const std::string& callKey, std::map<std::string, std::shared_ptr<std::vector<store_callback<Value>>>>& inFlight, std::string step,
        std::function<void(store_callback<Value>)> startCall, store_callback<Value> callback)
    {
        if (const auto found = inFlight.find(callKey); found != inFlight.end()) {
            m_events.count(guard_event::CollapsedRead);
            found->second->push_back(std::move(callback));
            return;
        }
        const auto callbacks = std::make_shared<std::vector<store_callback<Value>>>(1, std::move(callback));
        inFlight[callKey] = callbacks;
        const std::function<void(absl::StatusOr<Value>)> finish = [this, callKey, &inFlight, callbacks](const absl::StatusOr<Value>& answer) {
            if (const auto found = inFlight.find(callKey); found != inFlight.end() && found->second == callbacks)
                inFlight.erase(found);
            // A callback may destroy the guard; the remaining callbacks are dropped then.
            for (const auto& each : std::exchange(*callbacks, {})) {
                if (!isClosed)
                    each(answer);
            }
        };
        send<absl::StatusOr<Value>>(kind, std::move(step), m_settings.callTimeout, std::move(startCall), finish);
    }

    //! Excludes the reads and lists in flight that cover the key from sharing, so that later calls read the store again.
    void stopSharingReads(const std::string& key)
    {
        reads.erase(key);
        std::erase_if(lists, [&key](const auto& item) { return absl::StartsWith(key, item.first.substr(0, item.first.find('\n'))); });
    }

    //! Changes a key. Reads that were sent before the change was sent or completed are not shared with later calls.
    void change(store_call kind, const std::string& key, std::string step, std::function<void(store_callback<revision>)> startCall, store_callback<revision> callback)
    {
        stopSharingReads(key);
        const std::function<void(absl::StatusOr<revision>)> finish = [this, key, callback = std::move(callback)](absl::StatusOr<revision> answer) {
            stopSharingReads(key);
            callback(std::move(answer));
        };
        send<absl::StatusOr<revision>>(kind, std::move(step), m_settings.callTimeout, std::move(startCall), finish);
    }

    void runLater(std::function<void()> function)
    {
        m_loop.callLater(utils::milliseconds(0), [weak = weak_from_this(), function = std::move(function)] {
            if (const auto self = weak.lock())
                function();
        });
    }

    void recordResult(const absl::Status& status)
    {
        const auto before = m_breaker.state();
        if (isStoreAnswer(status)) {
            m_breaker.recordSuccess();
        } else {
            m_jitterState = utils::stableHash("pause", m_jitterState);
            m_breaker.recordFailure(m_loop.now(), m_jitterState);
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
    std::uint64_t m_jitterState;
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
    m_implementation->sendCollapsed<key_value>(
        store_call::Read, key, m_implementation->reads, absl::StrCat("read ", key), [&store, key](auto answer) { store.read(key, std::move(answer)); }, std::move(callback));
}

void guarded_store::list(const std::string& prefix, const std::string& start, std::size_t limit, store_callback<key_listing> callback)
{
    auto& store = m_implementation->m_store;
    m_implementation->sendCollapsed<key_listing>(
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
        store_call::Lease, absl::StrCat("revoke lease ", lease), state.m_settings.callTimeout, [&state, lease](auto answer) { state.m_store.revokeLease(lease, std::move(answer)); },
        std::move(callback));
}

void guarded_store::watch(const std::string& prefix, revision after, utils::milliseconds wait, store_callback<watch_result> callback)
{
    auto& state = *m_implementation;
    state.send<absl::StatusOr<watch_result>>(
        store_call::Watch, absl::StrCat("watch ", prefix), wait + state.m_settings.watchGracePeriod,
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
