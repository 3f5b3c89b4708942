#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "access/keyed_digest.h"
#include "membership/member.h"
#include "model/configuration.h"
#include "protocol/peer.pb.h"
#include "request_keys/key_shard_owner.h"
#include "transport/http_message.h"

namespace camphorsaddle::tasks {

//! \brief The list of members has changed, or this daemon has gained or lost its own lease.
struct membership_changed {
    membership::member_view view;
    //! Members that have missed several heartbeats.
    std::set<std::string> silent;
    //! Whether the member key of this daemon is in the store.
    bool isMember = false;
};

//! \brief This daemon has applied a newer revision of the configuration.
struct configuration_applied {
    std::uint64_t revision = 0;
    std::shared_ptr<const model::configuration> value;
};

//! \brief The membership task received a message from another daemon.
struct peer_message_received {
    protocol::PeerEnvelope envelope;
};

//! \brief Asks the membership task to send a message to another daemon; an empty receiver means all other members.
struct send_peer_message {
    std::string receiver;
    protocol::PeerEnvelope envelope;
};

//! \brief An administration call that the administration task passes to the scheduler or configurator task.
struct administration_call {
    //! Identifies the call in its reply; unique in the process of the administration task.
    std::uint64_t ticket = 0;
    transport::http_request request;
    //! Whether another daemon forwarded the call; it is then not forwarded again.
    bool isForwarded = false;
};

//! \brief Response to an administration call.
struct administration_reply {
    std::uint64_t ticket = 0;
    transport::http_response response;
};

//! \brief Asks the administration task to forward a call to the daemon that owns the requested object.
struct administration_redirect {
    std::uint64_t ticket = 0;
    std::string member;
};

//! \brief A section of the daemon's status that the administration task includes in its status response.
struct status_report {
    std::string section;
    //! JSON text.
    std::string content;
};

//! \brief Result of the verification of a token.
struct token_verified {
    access::keyed_digest digest;
    std::uint64_t generation = 0;
    bool isKnown = false;
};

//! \brief Data centres whose workers this daemon cannot reach; its shards there may be assigned to other daemons.
struct workers_unreachable {
    std::vector<std::string> dataCentres;
};

//! \brief The gateway asks whether it may send a request with a request key; the ticket is unique in its process.
struct key_claim {
    std::uint64_t ticket = 0;
    std::string key;
    std::uint64_t fingerprint = 0;
};

//! \brief Reply to a claim; after the verdict Wait another reply follows.
struct key_claim_reply {
    std::uint64_t ticket = 0;
    request_keys::claim_result result;
};

//! \brief The outcome of the request of a granted or abandoned claim.
struct key_settlement {
    std::uint64_t ticket = 0;
    std::string key;
    request_keys::key_phase end = request_keys::key_phase::Unknown;
    request_keys::key_answer answer;
};

//! \brief A planned shutdown has begun: the task accepts no new work, finishes running work and then posts task_drained.
struct drain { };

//! \brief A task has finished draining.
struct task_drained {
    std::string task;
};

//! \brief Asks a task to end its event loop.
struct stop_task { };

using gateway_message = std::variant<membership_changed, configuration_applied, peer_message_received, key_claim_reply, drain, stop_task>;
using keys_message = std::variant<membership_changed, peer_message_received, key_claim, key_settlement, drain, stop_task>;
using scheduler_message = std::variant<membership_changed, configuration_applied, administration_call, drain, stop_task>;
using configurator_message = std::variant<membership_changed, peer_message_received, administration_call, drain, stop_task>;
using membership_message = std::variant<send_peer_message, configuration_applied, workers_unreachable, drain, stop_task>;
using administration_message = std::variant<membership_changed, configuration_applied, peer_message_received, administration_reply,
    administration_redirect, status_report, token_verified, drain, stop_task>;
using application_message = std::variant<task_drained>;

} // namespace camphorsaddle::tasks
