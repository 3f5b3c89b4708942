#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "callers/crowd.h"

namespace camphorsaddle::callers {

//! \brief Sends \a count complete requests by \a clientCount clients, which each wait for a response before the next request.
//!
//! The clients connect to \a servers in turn, and keep their connections. Returns the status of each request; 0 where no response came.
std::vector<int> sendCompleteRequests(const std::vector<address>& servers, const std::string& ownIp, std::size_t count, std::size_t clientCount, const std::function<std::string(std::size_t)>& makeRequest);

//! \brief Status of a response; 0 if there is none.
int statusOf(const std::string& response);

} // namespace camphorsaddle::callers
