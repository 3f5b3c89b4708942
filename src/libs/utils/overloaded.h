#pragma once

namespace camphorsaddle::utils {

//! \brief Combines lambdas into one visitor for std::visit.
template <typename... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace camphorsaddle::utils
