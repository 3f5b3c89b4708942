#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace camphorsaddle::settings {

//! \brief Returns the content of a file in the source tree, empty if it does not exist.
inline std::string readSourceFile(const std::string& path)
{
    std::ifstream file(std::string(SOURCE_FOLDER) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace camphorsaddle::settings
