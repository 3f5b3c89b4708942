#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "utils/clock.h"

namespace camphorsaddle::external {

//! \brief Sequence number that the store assigns to each write; the version of a key is the revision of its last write.
using revision = std::uint64_t;

using lease_id = std::uint64_t;

struct key_value {
    std::string key;
    revision version = 0;
    std::string value;
    //! Lease whose end deletes the key; 0 if there is none or the store does not report it.
    lease_id lease = 0;

    auto operator<=>(const key_value&) const = default;
};

struct key_listing {
    revision at = 0;
    std::vector<key_value> entries;
};

struct key_change {
    std::string key;
    revision version = 0;
    std::string value;
    bool deleted = false;
    //! Lease whose end deletes the key; 0 if there is none or the store does not report it.
    lease_id lease = 0;

    auto operator<=>(const key_change&) const = default;
};

struct watch_result {
    revision at = 0;
    std::vector<key_change> changes;
};

struct write_request {
    std::string key;
    std::string value;
    //! Version that the key must have for the write to take effect; 0 means that the key must not exist.
    revision expectedVersion = 0;
    //! Lease whose end deletes the key; 0 if there is none.
    lease_id lease = 0;
};

template <typename Value>
using store_callback = std::function<void(absl::StatusOr<Value>)>;

//! \brief Asynchronous interface of the platform's key-value service.
//!
//! Callbacks run later on the caller's event loop, never within the call. Errors:
//! Aborted when a version did not match (the change did not take effect),
//! NotFound for a key that does not exist, FailedPrecondition for a lease that has ended,
//! OutOfRange for a watch from a revision that the store no longer keeps,
//! Unavailable when the call certainly did not take effect (connection refused, breaker open),
//! DeadlineExceeded or Unknown when it may have taken effect.
class key_value_store {
public:
    virtual ~key_value_store() = default;

    virtual void read(const std::string& key, store_callback<key_value> callback) = 0;
    //! \brief Lists the keys with the prefix in order, starting at \a start (empty: at the first key), at most \a limit (0: no limit).
    virtual void list(const std::string& prefix, const std::string& start, std::size_t limit, store_callback<key_listing> callback) = 0;
    virtual void write(const write_request& request, store_callback<revision> callback) = 0;
    virtual void erase(const std::string& key, revision expectedVersion, store_callback<revision> callback) = 0;
    virtual void grantLease(utils::milliseconds term, store_callback<lease_id> callback) = 0;
    virtual void renewLease(lease_id lease, std::function<void(absl::Status)> callback) = 0;
    virtual void revokeLease(lease_id lease, std::function<void(absl::Status)> callback) = 0;
    //! \brief Answers with the changes after revision \a after as soon as there are any, or with none after \a wait.
    virtual void watch(const std::string& prefix, revision after, utils::milliseconds wait, store_callback<watch_result> callback) = 0;
};

} // namespace camphorsaddle::external
