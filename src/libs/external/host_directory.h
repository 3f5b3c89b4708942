#pragma once

#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "model/host.h"

namespace camphorsaddle::external {

//! \brief The platform's list of live and leaving hosts, which may lag behind the actual state.
class host_directory {
public:
    virtual ~host_directory() = default;

    virtual void hosts(std::function<void(absl::StatusOr<std::vector<model::host>>)> callback) = 0;
};

} // namespace camphorsaddle::external
