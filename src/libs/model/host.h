#pragma once

#include <string>

#include "model/resources.h"

namespace camphorsaddle::model {

enum class host_role {
    Worker,
    Minion,
};

enum class host_state {
    Live,
    Leaving,
};

//! \brief An entry of the platform's host list: a worker machine or a back end (minion).
struct host {
    std::string id;
    host_role role = host_role::Worker;
    host_state state = host_state::Live;
    std::string url;
    std::string dataCentre;
    std::string rack;
    //! Service that a minion serves.
    std::string service;
    int slots = 0;
    int connections = 0;
    //! Total resources of a worker.
    resources capacity;

    auto operator<=>(const host&) const = default;
};

} // namespace camphorsaddle::model
