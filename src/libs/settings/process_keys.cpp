#include "settings/process_keys.h"

#include "settings/key_builders.h"

namespace camphorsaddle::settings {

namespace {

    using value = process_settings;
    using table = key_table<process_settings>;

    void append(table& target, table part)
    {
        target.insert(target.end(), part.begin(), part.end());
    }

    table identityKeys()
    {
        return {
            makeKey<value>(
                { "deployment", value_type::Name, {}, "", 0, 0, "Name of the deployment, part of every key in the store.", {} }, [](value & v) -> auto& { return v.deployment; }),
            makeKey<value>(
                { "daemon_id", value_type::Name, {}, "", 0, 0, "Name of this daemon, unique in the deployment.", {} }, [](value & v) -> auto& { return v.daemonId; }),
            makeKey<value>(
                { "data_centre", value_type::Name, {}, "", 0, 0, "Data centre of this daemon, one of cluster.data_centres.", {} }, [](value & v) -> auto& { return v.dataCentre; }),
            makeKey<value>(
                { "region", value_type::Name, {}, "", 0, 0, "Region of the data centre.", {} }, [](value & v) -> auto& { return v.region; }),
            makeKey<value>(
                { "store_url", value_type::Url, {}, "", 0, 0, "Key-value store of the platform.", {} }, [](value & v) -> auto& { return v.storeUrl; }),
            makeKey<value>(
                { "host_list_url", value_type::Url, {}, "", 0, 0, "List of live and leaving hosts.", {} }, [](value & v) -> auto& { return v.hostListUrl; }),
        };
    }

    table endpointKeys()
    {
        return {
            makeKey<value>(
                { "gateway.address", value_type::Address, "127.0.0.1", "", 0, 0, "Address on which callers are served.", {} }, [](value & v) -> auto& { return v.gateway.address; }),
            makeKey<value>(
                { "gateway.port", value_type::Integer, {}, "", 1, 65535, "Port for callers.", {} }, [](value & v) -> auto& { return v.gateway.port; }),
            makeKey<value>(
                { "administration.address", value_type::Address, "127.0.0.1", "", 0, 0, "Address on which operators are served.", {} }, [](value & v) -> auto& { return v.administration.address; }),
            makeKey<value>(
                { "administration.port", value_type::Integer, {}, "", 1, 65535, "Port for operators and job submitters.", {} }, [](value & v) -> auto& { return v.administration.port; }),
            makeKey<value>(
                { "peer.address", value_type::Address, "127.0.0.1", "", 0, 0, "Address on which other daemons are served by ZeroMQ over TCP.", {} }, [](value & v) -> auto& { return v.peer.address; }),
            makeKey<value>(
                { "peer.port", value_type::Integer, {}, "", 1, 65535, "Port for other daemons.", {} }, [](value & v) -> auto& { return v.peer.port; }),
        };
    }

    table clusterKeys()
    {
        return {
            makeKey<value>(
                { "cluster.batch_shards", value_type::Integer, 4, "per data centre", 1, 64, "Shards of batch state.", {} }, [](value & v) -> auto& { return v.cluster.batchShardCount; }),
            makeKey<value>(
                { "cluster.request_key_shards", value_type::Integer, 8, "", 1, 64, "Shards of idempotency keys in the deployment.", {} }, [](value & v) -> auto& { return v.cluster.requestKeyShardCount; }),
            makeKey<value>(
                { "cluster.store_write_budget", value_type::Integer, 150, "writes/s", 1, 2000, "Store writes of all live daemons together.", {} }, [](value & v) -> auto& { return v.cluster.storeWritesPerSecond; }),
            makeKey<value>(
                { "cluster.lease_term_ms", value_type::Integer, 3500, "ms", 1000, 10000, "Term of a daemon's lease in the store.", {} }, [](value & v) -> auto& { return v.cluster.leaseDuration; }),
            makeKey<value>(
                { "cluster.worker_lease_ms", value_type::Integer, 20000, "ms", 2000, 600000, "Term of the lease under which a worker runs tasks.", {} }, [](value & v) -> auto& { return v.cluster.workerLeaseDuration; }),
            makeKey<value>(
                { "cluster.renewal_interval_ms", value_type::Integer, 5000, "ms", 500, 60000, "Time between renewals of one worker's leases; below cluster.worker_lease_ms.", {} }, [](value & v) -> auto& { return v.cluster.renewalInterval; }),
            makeKey<value>(
                { "cluster.renewal_horizon_ms", value_type::Integer, 60000, "ms", 2000, 3600000, "How far ahead a shard's owner may renew worker leases; at least cluster.worker_lease_ms.", {} }, [](value & v) -> auto& { return v.cluster.renewalHorizon; }),
            makeKey<value>(
                { "cluster.clock_allowance_ms", value_type::Integer, 250, "ms", 0, 10000, "Added to lease terms for clocks that run at different speeds.", {} }, [](value & v) -> auto& { return v.cluster.clockDriftAllowance; }),
            makeKey<value>(
                { "cluster.heartbeat_interval_ms", value_type::Integer, 500, "ms", 50, 5000, "Time between heartbeats to each peer; below cluster.lease_term_ms.", {} }, [](value & v) -> auto& { return v.cluster.heartbeatInterval; }),
            makeKey<value>(
                { "cluster.link_byte_budget", value_type::Integer, 1000000, "bytes/s", 0, 1e12, "Traffic that this daemon may send between regions.", {} }, [](value & v) -> auto& { return v.cluster.interRegionBytesPerSecond; }),
        };
    }

    table localKeys()
    {
        return {
            makeKey<value>(
                { "drain_wait_ms", value_type::Integer, 15000, "ms", 0, 600000, "Time between answering not-ready and closing the gateway at a planned stop.", {} }, [](value & v) -> auto& { return v.drainDelay; }),
            makeKey<value>(
                { "log.folder", value_type::Text, "", "", 0, 0, "Folder of the logs; empty means standard error.", {} }, [](value & v) -> auto& { return v.log.folder; }),
            makeKey<value>(
                { "log.level", value_type::Integer, 0, "", 0, 3, "Least severity that is logged: 0 info, 1 warning, 2 error, 3 fatal.", {} }, [](value & v) -> auto& { return v.log.level; }),
            makeKey<value>(
                { "limits.maximum_body_bytes", value_type::Integer, 1048576, "bytes", 0, 1073741824, "Greatest body of a request.", {} }, [](value & v) -> auto& { return v.limits.maximumBodyBytes; }),
            makeKey<value>(
                { "limits.maximum_header_bytes", value_type::Integer, 16384, "bytes", 1024, 1048576, "Greatest sum of a request's headers.", {} }, [](value & v) -> auto& { return v.limits.maximumHeaderBytes; }),
            makeKey<value>(
                { "limits.maximum_waiting_requests", value_type::Integer, 4096, "", 1, 1000000, "Most requests that wait in this daemon.", {} }, [](value & v) -> auto& { return v.limits.maximumWaitingRequests; }),
        };
    }

    table allKeys()
    {
        table keys = identityKeys();
        append(keys, endpointKeys());
        append(keys, clusterKeys());
        append(keys, localKeys());
        return keys;
    }

} // namespace

const key_table<process_settings>& processKeys()
{
    static const auto& s_keys = *new table(allKeys());
    return s_keys;
}

const key_table<data_centre_settings>& dataCentreKeys()
{
    using item = data_centre_settings;
    static const auto& s_keys = *new key_table<item> {
        makeKey<item>(
            { "name", value_type::Name, {}, "", 0, 0, "Name of the data centre.", {} }, [](item & v) -> auto& { return v.name; }),
        makeKey<item>(
            { "region", value_type::Name, {}, "", 0, 0, "Region of the data centre.", {} }, [](item & v) -> auto& { return v.region; }),
    };
    return s_keys;
}

} // namespace camphorsaddle::settings
