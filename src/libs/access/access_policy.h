#pragma once

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "model/configuration.h"
#include "transport/http_message.h"

namespace camphorsaddle::access {

//! \brief Why the administration interface refused a call.
enum class administration_refusal {
    NoToken,
    UnknownToken,
    MissingRight,
    WrongTeam,
    TooManyTokens,
    NotReady,
    ResponseTimeout,
    UnknownPath,
};

inline constexpr std::size_t administrationRefusalCount = 8;

absl::string_view toString(administration_refusal reason);

//! \brief HTTP status code of the response to a refused call.
int httpStatusOf(administration_refusal reason);

//! \brief Whether a path is served without a token.
bool isPublicPath(absl::string_view path);

//! \brief Token of the header "Authorization: Bearer TOKEN"; empty when there is none.
std::string bearerToken(const transport::http_request& request);

//! \brief Reason to refuse \a request of a caller that has authenticated as \a team with \a rights; nothing when it is allowed.
//!
//! A team sees and changes its own jobs only; a team with the right Operate sees and changes the jobs of all teams
//! and requests and cancels evacuations.
std::optional<administration_refusal> findRefusal(const transport::http_request& request, const std::string& team, const std::set<model::team_right>& rights);

} // namespace camphorsaddle::access
