#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace camphorsaddle::utils {

//! \brief Creates an error with the step that failed and the peer involved.
//!
//! \a peer is the other process or the file; it may be empty for local steps.
absl::Status makeError(absl::StatusCode code, absl::string_view step, absl::string_view peer, absl::string_view cause);

//! \brief Adds step and peer to the error \a status unless it already has them.
absl::Status withContext(absl::Status status, absl::string_view step, absl::string_view peer);

//! \brief The step that failed, empty when unknown.
std::string errorStep(const absl::Status& status);

//! \brief The peer involved in the failed step, empty when unknown.
std::string errorPeer(const absl::Status& status);

//! \brief Formats \a status as "step: peer: cause".
std::string describe(const absl::Status& status);

} // namespace camphorsaddle::utils
