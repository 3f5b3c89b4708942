#pragma once

#include <memory>
#include <string>

#include "external/key_value_store.h"
#include "external/store_call.h"
#include "transport/http_client.h"
#include "utils/metrics.h"

namespace camphorsaddle::external {

//! \brief Client of the platform's key-value service; the protocol is in docs/PLATFORM.md.
class http_key_value_store : public key_value_store {
public:
    //! \a timeout bounds each call but the wait of a watch, which is added to it.
    http_key_value_store(transport::http_client& client, std::string url, utils::milliseconds timeout, utils::metric_registry& metrics);

    void read(const std::string& key, store_callback<key_value> callback) override;
    void list(const std::string& prefix, const std::string& start, std::size_t limit, store_callback<key_listing> callback) override;
    void write(const write_request& request, store_callback<revision> callback) override;
    void erase(const std::string& key, revision expectedVersion, store_callback<revision> callback) override;
    void grantLease(utils::milliseconds term, store_callback<lease_id> callback) override;
    void renewLease(lease_id lease, std::function<void(absl::Status)> callback) override;
    void revokeLease(lease_id lease, std::function<void(absl::Status)> callback) override;
    void watch(const std::string& prefix, revision after, utils::milliseconds wait, store_callback<watch_result> callback) override;

private:
    transport::http_call call(std::string method, const std::string& path) const;
    void send(store_call kind, transport::http_call call, std::string step, std::function<void(absl::StatusOr<transport::http_result>)> callback);

    transport::http_client& m_client;
    std::string m_url;
    std::string m_peer;
    utils::milliseconds m_timeout;
    utils::reason_counters<store_call, storeCallCount> m_calls;
};

} // namespace camphorsaddle::external
