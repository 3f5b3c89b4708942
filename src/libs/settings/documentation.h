#pragma once

#include <string>

namespace camphorsaddle::settings {

//! \brief Returns the text of docs/CONFIGURATION.md: tables of all keys of the process settings and of the configuration.
std::string renderDocumentation();

//! \brief Returns a help text with one line for each key of the process settings.
std::string renderSettingsHelp();

} // namespace camphorsaddle::settings
