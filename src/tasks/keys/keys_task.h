#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "external/guarded_store.h"
#include "external/http_key_value_store.h"
#include "journal/write_budget.h"
#include "membership/assignment.h"
#include "request_keys/key_shard_owner.h"
#include "tasks/loop_executor.h"
#include "tasks/task.h"
#include "transport/http_client.h"

namespace camphorsaddle::tasks {

//! \brief Owns the request-key shards that are assigned to this daemon, and forwards claims on other keys to their owners.
class keys_task : public task {
public:
    explicit keys_task(daemon_context& context);
    ~keys_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    void handle(keys_message message);
    //! Takes over the shards that the current view assigns to this daemon, and drops the others.
    void updateShards();
    //! Releases all shards for a planned stop, then reports the end of the drain.
    void releaseShards();
    void receive(const protocol::PeerEnvelope& envelope);
    void handleClaim(const key_claim& message);
    void handleSettlement(const key_settlement& message);
    void replyToGateway(std::uint64_t ticket, const request_keys::claim_result& result);

    const membership::shard_location& shardOf(const std::string& key) const;
    //! Owner of the key's shard if that is this daemon; otherwise null.
    request_keys::key_shard_owner* findOwnedShard(const std::string& key);
    //! Daemon id of the owner of the key's shard in the current view; empty if there is none.
    std::string ownerIdOf(const std::string& key) const;

    std::unique_ptr<transport::http_client> m_client;
    external::http_key_value_store m_httpStore;
    loop_executor m_executor;
    external::guarded_store m_store;
    journal::write_budget m_budget;
    std::vector<membership::shard_location> m_shards;
    membership_changed m_membership;
    std::map<std::string, std::unique_ptr<request_keys::key_shard_owner>> m_owners;
    std::uint64_t m_ownerCount = 0;
    std::size_t m_remainingReleases = 0;
    bool m_isDraining = false;
};

} // namespace camphorsaddle::tasks
