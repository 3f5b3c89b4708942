#pragma once

#include "settings/key_table.h"
#include "settings/process_settings.h"

namespace camphorsaddle::settings {

//! \brief Path of the list of data centres; dataCentreKeys() describes its items.
inline constexpr absl::string_view dataCentresPath = "cluster.data_centres";

//! \brief Keys of the process settings, except the list of data centres.
const key_table<process_settings>& processKeys();

//! \brief Keys of one item of the list of data centres.
const key_table<data_centre_settings>& dataCentreKeys();

} // namespace camphorsaddle::settings
