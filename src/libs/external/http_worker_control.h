#pragma once

#include "external/worker_control.h"
#include "transport/http_client.h"

namespace camphorsaddle::external {

//! \brief HTTP client of the worker agents; docs/PLATFORM.md describes the protocol.
class http_worker_control : public worker_control {
public:
    http_worker_control(transport::http_client& client, utils::milliseconds timeout);

    void inventory(const model::host& worker, worker_callback<worker_inventory> callback) override;
    void start(const model::host& worker, const start_command& command, std::function<void(absl::Status)> callback) override;
    void renew(const model::host& worker, const renew_command& command, worker_callback<worker_report> callback) override;
    void checkpoint(const model::host& worker, const attempt_key& key, worker_callback<std::string> callback) override;
    void throttle(const model::host& worker, const attempt_key& key, std::int64_t processors, std::function<void(absl::Status)> callback) override;
    void stop(const model::host& worker, const attempt_key& key, worker_callback<stop_result> callback) override;

private:
    transport::http_client& m_client;
    utils::milliseconds m_timeout;
};

} // namespace camphorsaddle::external
