#pragma once

#include "external/key_value_store.h"

namespace camphorsaddle::external {

//! \brief A key with the version that a transaction expects; 0 means that the key must not exist.
struct key_expectation {
    std::string key;
    revision version = 0;

    auto operator<=>(const key_expectation&) const = default;
};

struct key_put {
    std::string key;
    std::string value;
    //! Lease whose end deletes the key; 0 for none.
    lease_id lease = 0;

    auto operator<=>(const key_put&) const = default;
};

//! \brief Changes that take effect together, or not at all.
struct transaction {
    std::vector<key_expectation> expected;
    std::vector<key_put> puts;
    std::vector<std::string> erased;

    std::size_t entryCount() const
    {
        return expected.size() + puts.size() + erased.size();
    }
};

//! \brief Outcome of a transaction that the store has decided.
struct transaction_result {
    bool isCommitted = false;
    //! Revision of the change; 0 when it was not committed.
    revision at = 0;
    //! Present values of the expected keys that exist, when it was not committed.
    std::vector<key_value> present;
};

//! \brief A key-value service that changes several keys in one step.
class transactional_store : public key_value_store {
public:
    //! \brief Most entries (expectations, puts, erasures) that one transaction may have.
    virtual std::size_t entryLimit() const = 0;
    //! \brief Errors as for key_value_store; an expectation that does not hold is a result, not an error.
    virtual void transact(const transaction& change, store_callback<transaction_result> callback) = 0;
};

} // namespace camphorsaddle::external
