#pragma once

#include <memory>
#include <string>

#include "configuration/replicator.h"
#include "external/http_key_value_store.h"
#include "tasks/task.h"

namespace camphorsaddle::tasks {

//! \brief Keeps the daemon's configuration up to date and serves the configuration calls of the administration port.
//!
//! Does the input and output for configuration::replicator and configuration::edit_transaction.
class configurator_task : public task {
public:
    explicit configurator_task(daemon_context& context);
    ~configurator_task() override;

    absl::Status open() override;

private:
    //! An edit that is being written to the store.
    struct pending_edit {
        std::uint64_t ticket = 0;
        configuration::edit_transaction transaction;
    };

    void handleMessage(configurator_message message);
    void handlePeerMessage(const protocol::PeerEnvelope& envelope);
    void executeActions(const configuration::replicator_actions& actions);
    void readStore();
    void watchStore(external::revision after);
    void publishConfiguration();
    void sendRecord(const std::string& receiver);

    void handleCall(const administration_call& call);
    transport::http_response documentResponse(const std::string& name) const;
    transport::http_response statusResponse() const;
    transport::http_response historyResponse(const transport::http_request& request) const;
    void startEdit(const administration_call& call, const std::string& document);
    void executeEditAction(const std::shared_ptr<pending_edit>& pending, configuration::edit_action action);
    void readForEdit(const std::shared_ptr<pending_edit>& pending);
    void writeForEdit(const std::shared_ptr<pending_edit>& pending, const configuration::write_record& write);
    void finishEdit(const pending_edit& pending, const configuration::edit_outcome& outcome);
    void reply(std::uint64_t ticket, transport::http_response response);

    std::unique_ptr<transport::http_client> m_client;
    external::http_key_value_store m_store;
    transport::timer m_tickTimer;
    configuration::replicator m_replicator;
    membership::member_view m_members;
};

} // namespace camphorsaddle::tasks
