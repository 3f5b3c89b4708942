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
#include "request_keys/key_owner.h"
#include "transport/http_message.h"

namespace camphorsaddle::tasks {

//! \brief The members changed, or this daemon's own lease did.
struct membership_changed {
    membership::member_view view;
    //! Members that were not heard of for several heartbeats.
    std::set<std::string> silent;
    //! Whether this daemon's own member key is in the store.
    bool isMember = false;
};

//! \brief A greater revision of the configuration is in force in this daemon.
struct configuration_applied {
    std::uint64_t revision = 0;
    std::shared_ptr<const model::configuration> value;
};

//! \brief A message of another daemon.
struct peer_message_received {
    protocol::PeerEnvelope envelope;
};

//! \brief Asks the membership task to send a message; an empty receiver means all other members.
struct send_peer_message {
    std::string receiver;
    protocol::PeerEnvelope envelope;
};

//! \brief An administration call for the task that owns its subject.
struct administration_call {
    std::uint64_t ticket = 0;
    transport::http_request request;
    //! Another daemon sent it here; it is not forwarded again.
    bool isForwarded = false;
};

//! \brief Answer to an administration call.
struct administration_reply {
    std::uint64_t ticket = 0;
    transport::http_response response;
};

//! \brief The call belongs to another daemon.
struct administration_redirect {
    std::uint64_t ticket = 0;
    std::string member;
};

//! \brief Parts of a daemon's state that its administration task reports.
struct status_report {
    std::string section;
    //! JSON text.
    std::string content;
};

//! \brief Result of a token's verification.
struct token_verified {
    access::keyed_digest digest;
    std::uint64_t generation = 0;
    bool isKnown = false;
};

//! \brief The data centres whose workers this daemon does not reach; its shards there may go elsewhere.
struct workers_unreachable {
    std::vector<std::string> dataCentres;
};

//! \brief A gateway asks whether it may send a keyed request; the ticket is unique in its process.
struct key_claim {
    std::uint64_t ticket = 0;
    std::string key;
    std::uint64_t fingerprint = 0;
};

//! \brief Answer to a claim; after Wait another one follows.
struct key_claim_reply {
    std::uint64_t ticket = 0;
    request_keys::claim_result result;
};

//! \brief How the request of a granted or abandoned claim ended.
struct key_settlement {
    std::uint64_t ticket = 0;
    std::string key;
    request_keys::key_phase end = request_keys::key_phase::Unknown;
    request_keys::key_answer answer;
};

//! \brief A planned stop began: take no new work, finish what runs, then report.
struct drain { };

//! \brief A task has finished its drain.
struct task_drained {
    std::string task;
};

//! \brief Asks a task to end its loop.
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
