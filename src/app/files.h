#pragma once

#include <fstream>
#include <sstream>
#include <string>

#include "utils/errors.h"

namespace camphorsaddle::app {

//! \brief Returns the content of a file, or NotFound if it can't be opened.
inline absl::StatusOr<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return utils::makeError(absl::StatusCode::kNotFound, "read a file", path, "the file can't be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace camphorsaddle::app
