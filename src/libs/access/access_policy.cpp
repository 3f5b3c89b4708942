#include "access/access_policy.h"

#include "absl/strings/match.h"
#include "nlohmann/json.hpp"

namespace camphorsaddle::access {

namespace {

    using model::team_right;

    std::string teamInBody(const std::string& body)
    {
        const auto value = nlohmann::json::parse(body, nullptr, false);
        if (!value.is_object() || !value.contains("team") || !value["team"].is_string())
            return {};
        return value["team"].get<std::string>();
    }

    std::optional<administration_refusal> findJobRefusal(const transport::http_request& request, const std::string& team, const std::set<team_right>& rights)
    {
        const bool isOperator = rights.contains(team_right::Operate);
        const auto requestedTeam = request.method == "POST" ? teamInBody(request.body) : request.parameter("team");
        if (requestedTeam != team && !isOperator)
            return administration_refusal::WrongTeam;
        const bool hasRight = request.method == "GET" || (request.method == "POST" && rights.contains(team_right::Submit)) || (request.method == "DELETE" && rights.contains(team_right::Cancel));
        if (!hasRight && !isOperator)
            return administration_refusal::MissingRight;
        return std::nullopt;
    }

    bool mayObserve(const std::set<team_right>& rights)
    {
        return rights.contains(team_right::Observe) || rights.contains(team_right::Configure) || rights.contains(team_right::Operate);
    }

} // namespace

absl::string_view toString(administration_refusal reason)
{
    switch (reason) {
    case administration_refusal::NoToken:
        return "no_token";
    case administration_refusal::UnknownToken:
        return "unknown_token";
    case administration_refusal::MissingRight:
        return "wrong_right";
    case administration_refusal::WrongTeam:
        return "wrong_team";
    case administration_refusal::TooManyTokens:
        return "too_many_tokens";
    case administration_refusal::NotReady:
        return "not_ready";
    case administration_refusal::ResponseTimeout:
        return "unknown";
    case administration_refusal::UnknownPath:
        return "unknown_path";
    }
    return "unknown";
}

int httpStatusOf(administration_refusal reason)
{
    switch (reason) {
    case administration_refusal::NoToken:
    case administration_refusal::UnknownToken:
        return 401;
    case administration_refusal::MissingRight:
    case administration_refusal::WrongTeam:
        return 403;
    case administration_refusal::TooManyTokens:
        return 429;
    case administration_refusal::NotReady:
        return 503;
    case administration_refusal::ResponseTimeout:
        return 504;
    case administration_refusal::UnknownPath:
        return 404;
    }
    return 500;
}

bool isPublicPath(absl::string_view path)
{
    return path == "/v1/health" || path == "/v1/ready" || path == "/v1/metrics";
}

std::string bearerToken(const transport::http_request& request)
{
    constexpr absl::string_view scheme = "bearer ";
    const auto value = request.header("authorization");
    if (value.size() <= scheme.size() || !absl::EqualsIgnoreCase(absl::string_view(value).substr(0, scheme.size()), scheme))
        return {};
    return value.substr(scheme.size());
}

std::optional<administration_refusal> findRefusal(const transport::http_request& request, const std::string& team, const std::set<team_right>& rights)
{
    const absl::string_view path = request.path;
    if (path == "/v1/jobs" || absl::StartsWith(path, "/v1/jobs/"))
        return findJobRefusal(request, team, rights);
    if (path == "/v1/evacuations" || absl::StartsWith(path, "/v1/evacuations/"))
        return rights.contains(team_right::Operate) ? std::nullopt : std::optional(administration_refusal::MissingRight);
    const bool isReport = request.method == "GET" && (path == "/v1/status" || path == "/v1/config/status" || path == "/v1/config/history");
    const bool isAllowed = isReport ? mayObserve(rights) : rights.contains(team_right::Configure);
    if (!isAllowed)
        return administration_refusal::MissingRight;
    return std::nullopt;
}

} // namespace camphorsaddle::access
