#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "utils/clock.h"

namespace camphorsaddle::external {

//! \brief Number of a write in the store's order; a key's version is the revision of its last write.
using revision = std::uint64_t;

using lease_id = std::uint64_t;

struct key_value {
    std::string key;
    revision version = 0;
    std::string value;
    //! Lease whose end deletes the key; 0 for none or where the store does not tell.
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
    //! Lease whose end deletes the key; 0 for none or where the store does not tell.
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
    //! Version that the key must have; 0 means that it must not exist.
    revision expectedVersion = 0;
    //! Lease whose end deletes the key; 0 for none.
    lease_id lease = 0;
};

template <typename Value>
using store_callback = std::function<void(absl::StatusOr<Value>)>;

//! \brief The platform's key-value service, called asynchronously.
//!
//! Callbacks run later on the caller's loop, never within the call. Errors:
//! Aborted when a version did not match (the change did not take effect),
//! NotFound for an absent key, FailedPrecondition for an ended lease,
//! OutOfRange for a watch from a forgotten revision,
//! Unavailable when the call surely did not take effect (refused, breaker open),
//! DeadlineExceeded or Unknown when it may have.
class key_value_store {
public:
    virtual ~key_value_store() = default;

    virtual void read(const std::string& key, store_callback<key_value> callback) = 0;
    //! \brief All keys with the prefix, in order, from \a start on (empty: from the first), at most \a limit (0: all).
    virtual void list(const std::string& prefix, const std::string& start, std::size_t limit, store_callback<key_listing> callback) = 0;
    virtual void write(const write_request& request, store_callback<revision> callback) = 0;
    virtual void erase(const std::string& key, revision expectedVersion, store_callback<revision> callback) = 0;
    virtual void grantLease(utils::milliseconds term, store_callback<lease_id> callback) = 0;
    virtual void renewLease(lease_id lease, std::function<void(absl::Status)> callback) = 0;
    virtual void revokeLease(lease_id lease, std::function<void(absl::Status)> callback) = 0;
    //! \brief Answers with the changes after a revision, or with none after \a wait.
    virtual void watch(const std::string& prefix, revision after, utils::milliseconds wait, store_callback<watch_result> callback) = 0;
};

} // namespace camphorsaddle::external
