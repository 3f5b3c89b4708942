#pragma once

#include "utils/executor.h"

namespace camphorsaddle::journal {

using utils::executor;

} // namespace camphorsaddle::journal
