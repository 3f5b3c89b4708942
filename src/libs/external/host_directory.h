#pragma once

#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "model/host.h"

namespace camphorsaddle::external {

//! \brief The platform's lagging list of live and leaving hosts.
class host_directory {
public:
    virtual ~host_directory() = default;

    virtual void hosts(std::function<void(absl::StatusOr<std::vector<model::host>>)> callback) = 0;
};

} // namespace camphorsaddle::external
