#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "external/circuit_breaker.h"
#include "external/key_value_store.h"
#include "external/store_call.h"
#include "utils/executor.h"
#include "utils/metrics.h"

namespace camphorsaddle::external {

//! \brief Events that the guard counts in addition to the calls.
enum class guard_event {
    //! A call was rejected without being sent, because the breaker is open or recovering.
    RefusedByBreaker,
    BreakerOpened,
    BreakerClosed,
    //! A call was not answered within the call timeout.
    DeadlinePassed,
    //! An answer arrived after the timeout and was discarded.
    LateAnswer,
    //! A watch was neither answered nor ended within its wait time and the grace period.
    SilentWatch,
    //! A read or list call shared the answer of an identical call in flight.
    CollapsedRead,
};

inline constexpr std::size_t guardEventCount = 7;

absl::string_view toString(guard_event event);

struct guard_settings {
    utils::milliseconds callTimeout { 1000 };
    //! Time after the wait time of a watch until the watch is given up as unanswered.
    utils::milliseconds watchGracePeriod { 1000 };
    breaker_settings breaker;
    //! Seed of the jitter of the breaker; must differ between clients.
    std::uint64_t seed = 1;
};

//! \brief Wraps a store and adds call timeouts, a circuit breaker, request collapsing for reads, and metrics.
//!
//! A read shares the answer of an identical read in flight only if this client has neither started nor completed a change of
//! the key since that read was sent, so a client always reads its own writes. Callbacks that are pending when the guard is
//! destroyed do not run.
class guarded_store final : public key_value_store {
public:
    guarded_store(key_value_store& store, utils::executor& loop, utils::metric_registry& metrics, guard_settings settings = {});
    ~guarded_store() override;
    guarded_store(const guarded_store&) = delete;
    guarded_store& operator=(const guarded_store&) = delete;

    void read(const std::string& key, store_callback<key_value> callback) override;
    void list(const std::string& prefix, const std::string& start, std::size_t limit, store_callback<key_listing> callback) override;
    void write(const write_request& request, store_callback<revision> callback) override;
    void erase(const std::string& key, revision expectedVersion, store_callback<revision> callback) override;
    void grantLease(utils::milliseconds term, store_callback<lease_id> callback) override;
    void renewLease(lease_id lease, std::function<void(absl::Status)> callback) override;
    void revokeLease(lease_id lease, std::function<void(absl::Status)> callback) override;
    void watch(const std::string& prefix, revision after, utils::milliseconds wait, store_callback<watch_result> callback) override;

    breaker_state state() const;
    //! \brief Number of calls of \a kind that were sent to the store.
    std::uint64_t calls(store_call kind) const;
    std::uint64_t events(guard_event event) const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace camphorsaddle::external
