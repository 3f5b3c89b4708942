#pragma once

#include "utils/clock.h"

namespace camphorsaddle::routing {

//! \brief Limits on the reuse of a connection.
struct connection_options {
    utils::milliseconds idleTimeout { 10000 };
    utils::milliseconds maximumAge { 300000 };
    //! Idle timeout for non-repeatable requests. Shorter, because a request that is lost on a dead connection can't be sent again.
    utils::milliseconds nonRepeatableIdleTimeout { 2000 };
    utils::milliseconds probeTimeout { 500 };

    auto operator<=>(const connection_options&) const = default;
};

struct connection_state {
    utils::time_point openedAt;
    utils::time_point lastResponseAt;

    auto operator<=>(const connection_state&) const = default;
};

//! \brief Decides which open connections to one peer may be reused.
//!
//! A request that times out on a reused connection starts a probe on a new connection. If the peer responds to the
//! probe, the connections that were opened before it are retired.
class connection_reuse_policy {
public:
    explicit connection_reuse_policy(const connection_options& options = {});

    //! \brief Returns whether \a connection may carry another request at \a now.
    bool mayReuse(const connection_state& connection, bool isRepeatable, utils::time_point now) const;

    //! \brief Handles a request timeout on a reused connection; returns whether the caller must send a probe on a new connection.
    bool onRequestTimeout(utils::time_point now);
    //! \brief Handles the end of the probe; a response to it retires all connections that were opened before the probe started.
    void onProbeEnded(bool isAnswered);

private:
    connection_options m_options;
    bool m_isProbing = false;
    utils::time_point m_probeStartedAt;
    utils::time_point m_retiredBefore;
};

} // namespace camphorsaddle::routing
