#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection_closing.h"
#include "utils/metrics.h"

namespace camphorsaddle::transport {

//! \brief Account of the connections, requests and responses of all HTTP servers of a process; may be used from any thread.
//!
//! Decides which connections have to be closed to stay within the limits. The server of such a connection is woken and closes it.
class request_memory_tracker {
public:
    using closing_counts = std::array<std::uint64_t, closingReasonCount>;

    request_memory_tracker(const caller_limits& limits, utils::metric_registry& metrics);
    request_memory_tracker(const request_memory_tracker&) = delete;
    request_memory_tracker& operator=(const request_memory_tracker&) = delete;

    const caller_limits& limits() const
    {
        return m_limits;
    }

    //! \brief Registers a server and returns its number; \a wake is called from any thread when takeClosings() has something for it.
    std::uint64_t addServer(std::function<void()> wake);
    void removeServer(std::uint64_t server);

    //! \brief Registers a connection and returns its id.
    std::uint64_t open(std::uint64_t server, const std::string& address, utils::time_point now);
    void close(std::uint64_t connection);
    //! \brief Sets the stage; the end of the headers does not restart the time of a request.
    //!
    //! Returns false if the connection is to be closed. A request may be handled only if this has returned true for it.
    bool setStage(std::uint64_t connection, connection_stage stage, utils::time_point now);
    void setHeldBytes(std::uint64_t connection, std::uint64_t bytes);
    //! \brief Decides which connections of \a server are late.
    void checkTimes(std::uint64_t server, utils::time_point now);
    //! \brief Counts a connection that its server closes by itself; its bytes no longer count.
    void countClosing(std::uint64_t connection, closing_reason reason);

    //! \brief Counts a request that its server refuses by a response.
    void countRefusal(closing_reason reason);

    //! \brief Connections of \a server that must be closed; each is returned once.
    std::vector<connection_closing> takeClosings(std::uint64_t server);
    //! \brief Closings since the last report, if there are any and the last report is long enough ago.
    std::optional<closing_counts> takeReport(utils::time_point now);

private:
    struct tracked_connection {
        std::uint64_t server = 0;
        connection_state state;
        bool isClosing = false;
    };

    std::vector<connection_state> openConnections(std::optional<std::uint64_t> server = {}) const;
    void schedule(const connection_closing& closing);
    void markClosing(tracked_connection& connection, closing_reason reason);

    const caller_limits m_limits;
    std::mutex m_mutex;
    std::map<std::uint64_t, tracked_connection> m_connections;
    std::map<std::string, std::size_t> m_addressCounts;
    std::map<std::uint64_t, std::function<void()>> m_wakeFunctions;
    std::map<std::uint64_t, std::vector<connection_closing>> m_closings;
    //! Sums without the connections that are being closed.
    std::uint64_t m_heldBytes = 0;
    std::size_t m_openCount = 0;
    std::uint64_t m_nextServer = 1;
    std::uint64_t m_nextConnection = 1;
    closing_counts m_unreported {};
    std::optional<utils::time_point> m_reportedAt;
    utils::reason_counters<closing_reason, closingReasonCount> m_closingCounts;
    utils::gauge& m_connectionGauge;
    utils::gauge& m_memoryGauge;
};

} // namespace camphorsaddle::transport
