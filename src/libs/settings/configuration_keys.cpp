#include "settings/configuration_keys.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "settings/key_builders.h"

namespace camphorsaddle::settings {

namespace {

    constexpr double maximumProcessorsMilli = 1e9;
    constexpr double maximumMemoryMiB = 1e9;
    constexpr double maximumAccelerators = 1e6;
    constexpr double maximumRunTimeMs = 30.0 * 24 * 3600 * 1000;

    struct team_right_name {
        model::team_right right;
        absl::string_view name;
    };

    constexpr std::array<team_right_name, 5> teamRightNames { {
        { model::team_right::Submit, "submit" },
        { model::team_right::Cancel, "cancel" },
        { model::team_right::Configure, "configure" },
        { model::team_right::Observe, "observe" },
        { model::team_right::Operate, "operate" },
    } };

    std::vector<std::string> rightChoices()
    {
        std::vector<std::string> choices;
        choices.reserve(teamRightNames.size());
        for (const team_right_name& entry : teamRightNames)
            choices.emplace_back(entry.name);
        return choices;
    }

    void assignRights(model::team_configuration& team, const json& names)
    {
        team.rights.clear();
        for (const json& name : names) {
            const auto isNamed = [&](const team_right_name& entry) {
                return name.get<std::string>() == entry.name;
            };
            const auto* found = std::find_if(teamRightNames.begin(), teamRightNames.end(), isNamed);
            if (found != teamRightNames.end())
                team.rights.insert(found->right);
        }
    }

    json renderRights(const model::team_configuration& team)
    {
        json names = json::array();
        for (const team_right_name& entry : teamRightNames) {
            if (team.rights.contains(entry.right))
                names.push_back(std::string(entry.name));
        }
        return names;
    }

    //! Returns the keys of resource amounts below \a parent; \a member returns a reference to the resources from a T&.
    template <typename T, typename F>
    key_table<T> resourceKeys(const std::string& parent, const std::string& subject, F member)
    {
        return {
            makeKey<T>(
                { parent + ".processors_milli", value_type::Integer, {}, "thousandths of a core", 1, maximumProcessorsMilli, "Processors of " + subject + ".", {} }, [member](T & v) -> auto& { return member(v).processors; }),
            makeKey<T>(
                { parent + ".memory_mib", value_type::Integer, {}, "MiB", 1, maximumMemoryMiB, "Memory of " + subject + ".", {} }, [member](T & v) -> auto& { return member(v).memory; }),
            makeKey<T>(
                { parent + ".accelerators", value_type::Integer, 0, "", 0, maximumAccelerators, "Accelerators of " + subject + ".", {} }, [member](T & v) -> auto& { return member(v).accelerators; }),
        };
    }

    template <typename T>
    key_table<T> concatenate(key_table<T> first, const key_table<T>& second)
    {
        first.insert(first.end(), second.begin(), second.end());
        return first;
    }

    key_table<model::service_configuration> makeServiceKeys()
    {
        using value = model::service_configuration;
        const key_table<value> policy {
            makeKeyWithMemberDefault<value>(
                { "priority", value_type::Integer, {}, "", 0, 100, "Queued requests with a higher priority are sent first.", {} }, [](value & v) -> auto& { return v.priority; }),
            makeKeyWithMemberDefault<value>(
                { "patient", value_type::Boolean, {}, "", 0, 0, "Requests are sent after others, but a share of the slots is reserved for them.", {} }, [](value & v) -> auto& { return v.patient; }),
            makeKeyWithMemberDefault<value>(
                { "repeatable", value_type::Boolean, {}, "", 0, 0, "Requests may be sent more than once, unless a header of the request forbids it.", {} }, [](value & v) -> auto& { return v.repeatable; }),
            makeKeyWithMemberDefault<value>(
                { "deadline_ms", value_type::Integer, {}, "ms", 1, 600000, "Default deadline of requests that don't specify one.", {} }, [](value & v) -> auto& { return v.deadline; }),
            makeKeyWithMemberDefault<value>(
                { "latency_target_ms", value_type::Integer, {}, "ms", 1, 600000, "Target for the 99th percentile of the latency; at most deadline_ms.", {} }, [](value & v) -> auto& { return v.latencyTarget; }),
            makeKeyWithMemberDefault<value>(
                { "retry_budget", value_type::Number, {}, "share of requests", 0, 1, "Maximum share of retries and hedged requests.", {} }, [](value & v) -> auto& { return v.retryBudget; }),
            makeKeyWithMemberDefault<value>(
                { "hedging", value_type::Boolean, {}, "", 0, 0, "A second copy of a slow request may be sent; requires repeatable.", {} }, [](value & v) -> auto& { return v.hedging; }),
            makeKeyWithMemberDefault<value>(
                { "caller_concurrency", value_type::Integer, {}, "requests", 1, 1000000, "Maximum number of requests in flight for one caller.", {} }, [](value & v) -> auto& { return v.callerConcurrency; }),
            makeKeyWithMemberDefault<value>(
                { "queue_limit", value_type::Integer, {}, "requests", 0, 1000000, "Maximum number of requests queued in one gateway.", {} }, [](value & v) -> auto& { return v.queueLimit; }),
            makeKeyWithMemberDefault<value>(
                { "replicas", value_type::Integer, {}, "per data centre", 0, 10000, "Number of replicas to keep running; 0 if another system runs them.", {} }, [](value & v) -> auto& { return v.replicas; }),
            makeKeyWithMemberDefault<value>(
                { "spread", value_type::Integer, {}, "racks", 1, 1000, "Minimum number of racks over which the replicas are distributed; at most replicas if that is not 0.", {} }, [](value & v) -> auto& { return v.spread; }),
        };
        return concatenate(policy, resourceKeys<value>(
                                       "size", "one replica", [](value & v) -> auto& { return v.size; }));
    }

    key_table<model::batch_kind_configuration> makeBatchKindKeys()
    {
        using value = model::batch_kind_configuration;
        const key_table<value> policy {
            makeKeyWithMemberDefault<value>(
                { "priority", value_type::Integer, {}, "", 0, 100, "Tasks with a higher priority are started first.", {} }, [](value & v) -> auto& { return v.priority; }),
            makeKeyWithMemberDefault<value>(
                { "patient", value_type::Boolean, {}, "", 0, 0, "Tasks are started after others, but a share of the starts is reserved for them.", {} }, [](value & v) -> auto& { return v.patient; }),
            makeKeyWithMemberDefault<value>(
                { "weight", value_type::Number, {}, "", 0, 1000, "Cost of one second of lost work, relative to other kinds.", {} }, [](value & v) -> auto& { return v.weight; }),
            makeKeyWithMemberDefault<value>(
                { "run_time_ms", value_type::Integer, {}, "ms", 1, maximumRunTimeMs, "Expected run time of one task.", {} }, [](value & v) -> auto& { return v.runTime; }),
            makeKeyWithMemberDefault<value>(
                { "checkpoints", value_type::Boolean, {}, "", 0, 0, "Tasks can resume from a checkpoint.", {} }, [](value & v) -> auto& { return v.checkpoints; }),
        };
        return concatenate(policy, resourceKeys<value>(
                                       "size", "one task", [](value & v) -> auto& { return v.size; }));
    }

    key_table<model::team_configuration> makeTeamKeys()
    {
        using value = model::team_configuration;
        const key_table<value> access {
            makeKeyWithMemberDefault<value>(
                { "token_hashes", value_type::TextList, {}, "", 0, 0, "Encoded Argon2 hashes of the tokens that identify the team.", {} }, [](value & v) -> auto& { return v.tokenHashes; }),
            { { "rights", value_type::TextList, json::array(), "", 0, 0, "Operations that the holder of a token is allowed to do.", rightChoices() }, assignRights, renderRights },
        };
        return concatenate(resourceKeys<value>(
                               "quota", "all running tasks of the team in the deployment", [](value & v) -> auto& { return v.quota; }),
            access);
    }

} // namespace

const key_table<model::configuration>& configurationKeys()
{
    using value = model::configuration;
    static const auto& s_keys = *new key_table<value> {
        makeKeyWithMemberDefault<value>(
            { "weights.tail", value_type::Number, {}, "", 0, 1000, "Weight of the tail latency of services.", {} }, [](value & v) -> auto& { return v.weights.tail; }),
        makeKeyWithMemberDefault<value>(
            { "weights.throughput", value_type::Number, {}, "", 0, 1000, "Weight of the batch throughput.", {} }, [](value & v) -> auto& { return v.weights.throughput; }),
        makeKeyWithMemberDefault<value>(
            { "weights.evictions", value_type::Number, {}, "", 0, 1000, "Weight of avoiding evictions.", {} }, [](value & v) -> auto& { return v.weights.evictions; }),
        makeKeyWithMemberDefault<value>(
            { "guards.lent_idle_share", value_type::Number, {}, "share", 0, 1, "Maximum share of a worker's idle processors that batch tasks may use.", {} }, [](value & v) -> auto& { return v.guards.lentIdleShare; }),
        makeKeyWithMemberDefault<value>(
            { "guards.urgent_headroom", value_type::Number, {}, "share", 0, 0.9, "Share of each worker that is kept free for urgent work.", {} }, [](value & v) -> auto& { return v.guards.urgentHeadroom; }),
        makeKeyWithMemberDefault<value>(
            { "guards.evictions_per_minute", value_type::Integer, {}, "1/min", 0, 100000, "Maximum rate of evictions in one data centre.", {} }, [](value & v) -> auto& { return v.guards.evictionsPerMinute; }),
    };
    return s_keys;
}

const key_table<model::service_configuration>& serviceKeys()
{
    static const auto& s_keys = *new key_table<model::service_configuration>(makeServiceKeys());
    return s_keys;
}

const key_table<model::batch_kind_configuration>& batchKindKeys()
{
    static const auto& s_keys = *new key_table<model::batch_kind_configuration>(makeBatchKindKeys());
    return s_keys;
}

const key_table<model::team_configuration>& teamKeys()
{
    static const auto& s_keys = *new key_table<model::team_configuration>(makeTeamKeys());
    return s_keys;
}

} // namespace camphorsaddle::settings
