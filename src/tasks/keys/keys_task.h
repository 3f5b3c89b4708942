#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "external/guarded_store.h"
#include "external/http_key_value_store.h"
#include "journal/write_budget.h"
#include "membership/assignment.h"
#include "request_keys/key_owner.h"
#include "tasks/loop_executor.h"
#include "tasks/task.h"
#include "transport/http_client.h"

namespace camphorsaddle::tasks {

//! \brief Owns the request-key shards that the membership assigns to this daemon, and passes claims to the others' owners.
class keys_task : public task {
public:
    explicit keys_task(daemon_context& context);
    ~keys_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    void handle(keys_message message);
    void assign();
    void leave();
    void receive(const protocol::PeerEnvelope& envelope);
    void claim(const key_claim& message);
    void settle(const key_settlement& message);
    void reply(std::uint64_t ticket, const request_keys::claim_result& result);

    const membership::shard_location& placeOf(const std::string& key) const;
    //! The shard of the key when this daemon owns it.
    request_keys::key_owner* ownedShard(const std::string& key);
    //! Id of the owner by the present view; empty for none.
    std::string ownerIdOf(const std::string& key) const;

    std::unique_ptr<transport::http_client> m_client;
    external::http_key_value_store m_httpStore;
    loop_executor m_executor;
    external::guarded_store m_store;
    journal::write_budget m_budget;
    std::vector<membership::shard_location> m_places;
    membership_changed m_membership;
    std::map<std::string, std::unique_ptr<request_keys::key_owner>> m_owners;
    std::uint64_t m_ownerCount = 0;
    std::size_t m_releasing = 0;
    bool m_isDraining = false;
};

} // namespace camphorsaddle::tasks
