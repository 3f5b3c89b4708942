#include "membership/member.h"

#include <algorithm>

#include "nlohmann/json.hpp"
#include "utils/errors.h"

namespace camphorsaddle::membership {

using nlohmann::json;

member_view makeView(std::uint64_t revision, std::vector<member> members)
{
    const auto precedes = [](const member& left, const member& right) {
        if (left.id != right.id)
            return left.id < right.id;
        return left.incarnation > right.incarnation;
    };
    const auto sameId = [](const member& left, const member& right) {
        return left.id == right.id;
    };
    std::sort(members.begin(), members.end(), precedes);
    members.erase(std::unique(members.begin(), members.end(), sameId), members.end());
    return { .revision = revision, .members = std::move(members) };
}

std::string formatMember(const member& member)
{
    const json document {
        { "id", member.id },
        { "data_centre", member.dataCentre },
        { "region", member.region },
        { "peer_endpoint", member.peerEndpoint },
        { "administration_url", member.administrationUrl },
        { "gateway_url", member.gatewayUrl },
        { "incarnation", member.incarnation },
        { "unreachable", member.unreachableDataCentres },
    };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<member> parseMember(absl::string_view text, absl::string_view key)
{
    try {
        const json document = json::parse(text.begin(), text.end());
        member result;
        document.at("id").get_to(result.id);
        document.at("data_centre").get_to(result.dataCentre);
        document.at("region").get_to(result.region);
        document.at("peer_endpoint").get_to(result.peerEndpoint);
        document.at("administration_url").get_to(result.administrationUrl);
        document.at("gateway_url").get_to(result.gatewayUrl);
        document.at("incarnation").get_to(result.incarnation);
        result.unreachableDataCentres = document.value("unreachable", std::vector<std::string> {});
        if (result.id.empty())
            return utils::makeError(absl::StatusCode::kInvalidArgument, "parse member", key, "the id is empty");
        return result;
    } catch (const json::exception& error) {
        return utils::makeError(absl::StatusCode::kInvalidArgument, "parse member", key, error.what());
    }
}

} // namespace camphorsaddle::membership
