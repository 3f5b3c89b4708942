#pragma once

#include <string>

#include "external/host_directory.h"
#include "transport/http_client.h"

namespace camphorsaddle::external {

//! \brief HTTP client of the platform's host list; docs/PLATFORM.md describes the protocol.
class http_host_directory : public host_directory {
public:
    http_host_directory(transport::http_client& client, std::string url, utils::milliseconds timeout);

    void hosts(std::function<void(absl::StatusOr<std::vector<model::host>>)> callback) override;

private:
    transport::http_client& m_client;
    std::string m_url;
    utils::milliseconds m_timeout;
};

} // namespace camphorsaddle::external
