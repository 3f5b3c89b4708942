#include "transport/connection_closing.h"

#include <algorithm>
#include <tuple>

namespace camphorsaddle::transport {

namespace {

    // Closing connections until an eighth is free keeps the cost of a decision apart from the number of arriving pieces.
    constexpr std::uint64_t freedShares = 8;

    bool isReceiving(connection_stage stage)
    {
        return stage == connection_stage::ReceivingHeaders || stage == connection_stage::ReceivingBody;
    }

    //! Lower ranks are closed first.
    int rankForMemory(connection_stage stage)
    {
        return isReceiving(stage) ? 0 : 1;
    }

    int rankForConnections(connection_stage stage)
    {
        return stage == connection_stage::Idle ? 1 : 0;
    }

    auto ageOrder(const connection_state& connection)
    {
        return std::tie(connection.since, connection.id);
    }

} // namespace

std::vector<connection_closing> chooseForMemory(const caller_limits& limits, const std::vector<connection_state>& connections)
{
    std::uint64_t held = 0;
    std::vector<const connection_state*> candidates;
    for (const auto& connection : connections) {
        held += connection.heldBytes;
        if (connection.heldBytes > 0 && (isReceiving(connection.stage) || connection.stage == connection_stage::SendingResponse))
            candidates.push_back(&connection);
    }
    if (held <= limits.memoryBytes)
        return {};
    std::ranges::sort(candidates, [](const auto* left, const auto* right) {
        return std::tuple(rankForMemory(left->stage), ageOrder(*left)) < std::tuple(rankForMemory(right->stage), ageOrder(*right));
    });
    std::vector<connection_closing> closings;
    for (const auto* candidate : candidates) {
        if (held <= limits.memoryBytes - limits.memoryBytes / freedShares)
            break;
        closings.push_back({ candidate->id, closing_reason::Memory });
        held -= candidate->heldBytes;
    }
    return closings;
}

std::optional<connection_closing> chooseForNewConnection(const caller_limits& limits, const std::vector<connection_state>& connections, std::uint64_t newest)
{
    const auto opened = std::ranges::find(connections, newest, &connection_state::id);
    if (opened == connections.end())
        return std::nullopt;
    const auto ofAddress = static_cast<std::size_t>(std::ranges::count(connections, opened->address, &connection_state::address));
    const bool isAddressFull = ofAddress > limits.connectionsPerAddress;
    if (!isAddressFull && connections.size() <= limits.connections)
        return std::nullopt;
    const connection_state* chosen = nullptr;
    const auto isBefore = [](const connection_state& left, const connection_state& right) {
        return std::tuple(rankForConnections(left.stage), ageOrder(left)) < std::tuple(rankForConnections(right.stage), ageOrder(right));
    };
    for (const auto& connection : connections) {
        if (connection.id == newest || connection.stage == connection_stage::Handled || (isAddressFull && connection.address != opened->address))
            continue;
        if (chosen == nullptr || isBefore(connection, *chosen))
            chosen = &connection;
    }
    return connection_closing { chosen == nullptr ? newest : chosen->id, isAddressFull ? closing_reason::ConnectionsOfAddress : closing_reason::Connections };
}

std::vector<connection_closing> chooseLate(const caller_limits& limits, const std::vector<connection_state>& connections, utils::time_point now)
{
    std::vector<connection_closing> closings;
    for (const auto& connection : connections) {
        const auto age = now - connection.since;
        if (connection.stage == connection_stage::ReceivingHeaders && age > limits.headerTime)
            closings.push_back({ connection.id, closing_reason::HeaderTime });
        else if (connection.stage == connection_stage::ReceivingBody && age > limits.requestTime)
            closings.push_back({ connection.id, closing_reason::RequestTime });
        else if (connection.stage == connection_stage::SendingResponse && age > limits.requestTime)
            closings.push_back({ connection.id, closing_reason::ResponseTime });
    }
    return closings;
}

} // namespace camphorsaddle::transport
