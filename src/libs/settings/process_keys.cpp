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
                { "deployment", value_type::Name, {}, "", 0, 0, "Name of the deployment; part of every key in the store.", {} }, [](value & v) -> auto& { return v.deployment; }),
            makeKey<value>(
                { "daemon_id", value_type::Name, {}, "", 0, 0, "Name of this daemon; unique in the deployment.", {} }, [](value & v) -> auto& { return v.daemonId; }),
            makeKey<value>(
                { "data_centre", value_type::Name, {}, "", 0, 0, "Data centre of this daemon; one of cluster.data_centres.", {} }, [](value & v) -> auto& { return v.dataCentre; }),
            makeKey<value>(
                { "region", value_type::Name, {}, "", 0, 0, "Region of the data centre.", {} }, [](value & v) -> auto& { return v.region; }),
            makeKey<value>(
                { "store_url", value_type::Url, {}, "", 0, 0, "URL of the platform's key-value store.", {} }, [](value & v) -> auto& { return v.storeUrl; }),
            makeKey<value>(
                { "host_list_url", value_type::Url, {}, "", 0, 0, "URL of the list of live and leaving hosts.", {} }, [](value & v) -> auto& { return v.hostListUrl; }),
        };
    }

    table endpointKeys()
    {
        return {
            makeKey<value>(
                { "gateway.address", value_type::Address, "127.0.0.1", "", 0, 0, "Address on which the gateway listens for callers.", {} }, [](value & v) -> auto& { return v.gateway.address; }),
            makeKey<value>(
                { "gateway.port", value_type::Integer, {}, "", 1, 65535, "Port of the gateway.", {} }, [](value & v) -> auto& { return v.gateway.port; }),
            makeKey<value>(
                { "administration.address", value_type::Address, "127.0.0.1", "", 0, 0, "Address on which the daemon listens for operators and job submitters.", {} }, [](value & v) -> auto& { return v.administration.address; }),
            makeKey<value>(
                { "administration.port", value_type::Integer, {}, "", 1, 65535, "Port for operators and job submitters.", {} }, [](value & v) -> auto& { return v.administration.port; }),
            makeKey<value>(
                { "peer.address", value_type::Address, "127.0.0.1", "", 0, 0, "Address on which the daemon listens for other daemons, by ZeroMQ over TCP.", {} }, [](value & v) -> auto& { return v.peer.address; }),
            makeKey<value>(
                { "peer.port", value_type::Integer, {}, "", 1, 65535, "Port for other daemons.", {} }, [](value & v) -> auto& { return v.peer.port; }),
        };
    }

    table clusterKeys()
    {
        return {
            makeKey<value>(
                { "cluster.batch_shards", value_type::Integer, 4, "per data centre", 1, 64, "Number of shards of the batch state.", {} }, [](value & v) -> auto& { return v.cluster.batchShardCount; }),
            makeKey<value>(
                { "cluster.request_key_shards", value_type::Integer, 8, "", 1, 64, "Number of shards of the idempotency keys in the deployment.", {} }, [](value & v) -> auto& { return v.cluster.requestKeyShardCount; }),
            makeKey<value>(
                { "cluster.store_write_budget", value_type::Integer, 150, "writes/s", 1, 2000, "Maximum rate of store writes of all live daemons together.", {} }, [](value & v) -> auto& { return v.cluster.storeWritesPerSecond; }),
            makeKey<value>(
                { "cluster.lease_term_ms", value_type::Integer, 3500, "ms", 1000, 10000, "Duration of a daemon's lease in the store.", {} }, [](value & v) -> auto& { return v.cluster.leaseDuration; }),
            makeKey<value>(
                { "cluster.worker_lease_ms", value_type::Integer, 20000, "ms", 2000, 600000, "Duration of the lease under which a worker runs tasks.", {} }, [](value & v) -> auto& { return v.cluster.workerLeaseDuration; }),
            makeKey<value>(
                { "cluster.renewal_interval_ms", value_type::Integer, 5000, "ms", 500, 60000, "Interval between renewals of the leases of one worker; less than cluster.worker_lease_ms.", {} }, [](value & v) -> auto& { return v.cluster.renewalInterval; }),
            makeKey<value>(
                { "cluster.renewal_horizon_ms", value_type::Integer, 60000, "ms", 2000, 3600000, "How far ahead the owner of a shard may renew worker leases; at least cluster.worker_lease_ms.", {} }, [](value & v) -> auto& { return v.cluster.renewalHorizon; }),
            makeKey<value>(
                { "cluster.clock_allowance_ms", value_type::Integer, 250, "ms", 0, 10000, "Added to lease durations to allow for clocks that run at different speeds.", {} }, [](value & v) -> auto& { return v.cluster.clockDriftAllowance; }),
            makeKey<value>(
                { "cluster.heartbeat_interval_ms", value_type::Integer, 500, "ms", 50, 5000, "Interval between heartbeats to each peer; less than cluster.lease_term_ms.", {} }, [](value & v) -> auto& { return v.cluster.heartbeatInterval; }),
            makeKey<value>(
                { "cluster.link_byte_budget", value_type::Integer, 1000000, "bytes/s", 0, 1e12, "Maximum rate at which this daemon sends between regions.", {} }, [](value & v) -> auto& { return v.cluster.interRegionBytesPerSecond; }),
        };
    }

    table localKeys()
    {
        return {
            makeKey<value>(
                { "drain_wait_ms", value_type::Integer, 15000, "ms", 0, 600000, "Time from reporting not ready to closing the gateway in a planned stop.", {} }, [](value & v) -> auto& { return v.drainDelay; }),
            makeKey<value>(
                { "log.folder", value_type::Text, "", "", 0, 0, "Directory of the log files; if empty, the log is written to standard error.", {} }, [](value & v) -> auto& { return v.log.directory; }),
            makeKey<value>(
                { "log.level", value_type::Integer, 0, "", 0, 3, "Minimum severity that is logged: 0 info, 1 warning, 2 error, 3 fatal.", {} }, [](value & v) -> auto& { return v.log.minimumSeverity; }),
            makeKey<value>(
                { "limits.maximum_body_bytes", value_type::Integer, 1048576, "bytes", 0, 1073741824, "Maximum size of a request's body.", {} }, [](value & v) -> auto& { return v.limits.maximumBodyBytes; }),
            makeKey<value>(
                { "limits.maximum_header_bytes", value_type::Integer, 16384, "bytes", 1024, 1048576, "Maximum total size of a request's headers.", {} }, [](value & v) -> auto& { return v.limits.maximumHeaderBytes; }),
            makeKey<value>(
                { "limits.maximum_waiting_requests", value_type::Integer, 4096, "", 1, 1000000, "Maximum number of requests queued in this daemon.", {} }, [](value & v) -> auto& { return v.limits.maximumWaitingRequests; }),
            makeKey<value>(
                { "limits.request_memory_bytes", value_type::Integer, 0, "bytes", 0, 1e12, "Maximum memory of all unfinished and unanswered requests and unread responses of this daemon; beyond it, the oldest unfinished requests are refused. 0: a quarter of the host's memory, so that half remains if the headers of connections use another quarter.", {} }, [](value & v) -> auto& { return v.limits.requestMemoryBytes; }),
            makeKey<value>(
                { "limits.maximum_connections", value_type::Integer, 0, "", 0, 1000000, "Maximum number of callers' connections of this daemon; beyond it, the oldest one with an unfinished request is closed. 0: half of the descriptors that the process may open, without 200 for files, so that the other half remains for the store, peers and minions; at most one for each 128 KiB of the host's memory.", {} }, [](value & v) -> auto& { return v.limits.maximumConnections; }),
            makeKey<value>(
                { "limits.maximum_connections_per_address", value_type::Integer, 0, "", 0, 1000000, "Maximum number of connections from one address, which may be that of a load balancer. 0: seven eighths of limits.maximum_connections, so that one address can't use all of them.", {} }, [](value & v) -> auto& { return v.limits.maximumConnectionsPerAddress; }),
            makeKey<value>(
                { "limits.header_time_ms", value_type::Integer, 6000, "ms", 100, 600000, "Maximum time from the first byte of a request to the end of its headers, checked each second. The default is twice the 3 s in which callers have to send them.", {} }, [](value & v) -> auto& { return v.limits.headerTime; }),
            makeKey<value>(
                { "limits.request_time_ms", value_type::Integer, 60000, "ms", 100, 3600000, "Maximum time from the first byte of a request to its last one, and for a caller to read a response, checked each second. The default is the longest time that a caller may wait for a job call.", {} }, [](value & v) -> auto& { return v.limits.requestTime; }),
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
