#pragma once

#include "external/key_value_store.h"

namespace camphorsaddle::external {

//! \brief Condition of a transaction: the key must have this version; 0 means that the key must not exist.
struct key_expectation {
    std::string key;
    revision version = 0;

    auto operator<=>(const key_expectation&) const = default;
};

struct key_put {
    std::string key;
    std::string value;
    //! Lease whose end deletes the key; 0 if there is none.
    lease_id lease = 0;

    auto operator<=>(const key_put&) const = default;
};

//! \brief Changes that take effect together or not at all.
struct transaction {
    std::vector<key_expectation> expected;
    std::vector<key_put> puts;
    std::vector<std::string> erased;

    std::size_t entryCount() const
    {
        return expected.size() + puts.size() + erased.size();
    }
};

//! \brief Result of a transaction that the store has either committed or rejected.
struct transaction_result {
    bool isCommitted = false;
    //! Revision of the commit; 0 if the transaction was not committed.
    revision at = 0;
    //! If the transaction was not committed: the current values of those expected keys that exist.
    std::vector<key_value> present;
};

//! \brief Key-value store that can change several keys atomically.
class transactional_store : public key_value_store {
public:
    //! \brief Maximum number of entries (expectations, puts and erased keys) in a transaction.
    virtual std::size_t entryLimit() const = 0;
    //! \brief Applies a transaction. A failed expectation is a result, not an error; other errors are those of key_value_store.
    virtual void transact(const transaction& change, store_callback<transaction_result> callback) = 0;
};

} // namespace camphorsaddle::external
