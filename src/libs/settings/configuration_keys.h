#pragma once

#include "model/configuration.h"
#include "settings/key_table.h"

namespace camphorsaddle::settings {

inline constexpr absl::string_view servicesSection = "services";
inline constexpr absl::string_view batchKindsSection = "batch_kinds";
inline constexpr absl::string_view teamsSection = "teams";

//! \brief Keys of the configuration, except those in the maps of services, batch kinds and teams.
const key_table<model::configuration>& configurationKeys();

//! \brief Keys of one entry of the map of services.
const key_table<model::service_configuration>& serviceKeys();

//! \brief Keys of one entry of the map of batch kinds.
const key_table<model::batch_kind_configuration>& batchKindKeys();

//! \brief Keys of one entry of the map of teams.
const key_table<model::team_configuration>& teamKeys();

} // namespace camphorsaddle::settings
