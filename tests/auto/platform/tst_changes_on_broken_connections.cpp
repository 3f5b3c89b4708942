#include <gtest/gtest.h>

#include <optional>

#include "absl/strings/str_cat.h"
#include "external/http_key_value_store.h"
#include "platform/kv_store_client.h"
#include "transport/breaking_server.h"

using namespace camphorsaddle;

namespace {

constexpr utils::milliseconds testLimit { 10'000 };
constexpr utils::milliseconds callTimeout { 1000 };
using status_callback = std::function<void(absl::Status)>;

struct store_call_case {
    const char* name;
    void (*send)(external::key_value_store& store, const status_callback& done);
    std::unique_ptr<external::key_value_store> (*makeStore)(transport::http_client& client, const std::string& address, utils::metric_registry& metrics);
};

std::unique_ptr<external::key_value_store> makePlatformStore(transport::http_client& client, const std::string& address, utils::metric_registry& metrics)
{
    return std::make_unique<platform::kv_store_client>(client, address, metrics);
}

std::unique_ptr<external::key_value_store> makeOwnStore(transport::http_client& client, const std::string& address, utils::metric_registry& metrics)
{
    return std::make_unique<external::http_key_value_store>(client, absl::StrCat("http://", address), callTimeout, metrics);
}

void write(external::key_value_store& store, const status_callback& done)
{
    store.write({ "key", "value", 0, 0 }, [done](const auto& result) { done(result.status()); });
}

void erase(external::key_value_store& store, const status_callback& done)
{
    store.erase("key", 1, [done](const auto& result) { done(result.status()); });
}

void transact(external::key_value_store& store, const status_callback& done)
{
    dynamic_cast<external::transactional_store&>(store).transact({ { { "key", 0 } }, { { "key", "value", 0 } }, {} }, [done](const auto& result) { done(result.status()); });
}

void renewLease(external::key_value_store& store, const status_callback& done)
{
    store.renewLease(1, done);
}

void revokeLease(external::key_value_store& store, const status_callback& done)
{
    store.revokeLease(1, done);
}

class store_call_on_broken_connection : public testing::TestWithParam<store_call_case> {
protected:
    absl::Status send()
    {
        std::optional<absl::Status> status;
        GetParam().send(*m_store, [&](absl::Status received) {
            status = std::move(received);
            m_loop.stop();
        });
        transport::timer limit(m_loop, [this] { m_loop.stop(); });
        limit.startOnce(testLimit);
        m_loop.run();
        EXPECT_TRUE(status);
        return status.value_or(absl::OkStatus());
    }

    transport::event_loop m_loop;
    transport::test::breaking_server m_server { m_loop, { 1 }, R"({"Revision":3,"version":3})" };
    utils::metric_registry m_metrics;
    std::unique_ptr<transport::http_client> m_http = transport::http_client::create(m_loop);
    std::unique_ptr<external::key_value_store> m_store = GetParam().makeStore(*m_http, absl::StrCat("127.0.0.1:", m_server.port), m_metrics);
};

class conditional_change : public store_call_on_broken_connection {
};

class repeatable_call : public store_call_on_broken_connection {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Stores, conditional_change,
    testing::Values(store_call_case { "platformWrite", &write, &makePlatformStore },
        store_call_case { "platformErase", &erase, &makePlatformStore },
        store_call_case { "platformTransaction", &transact, &makePlatformStore },
        store_call_case { "ownWrite", &write, &makeOwnStore },
        store_call_case { "ownErase", &erase, &makeOwnStore }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against accepted jobs that never run, and refused jobs that run: the store executed a change, its connection broke before the
// reply, and the repetition of the request met the change itself (review/1, review's store-fails-over).
TEST_P(conditional_change, IsSentOnceAndItsEffectIsUnknown)
{
    EXPECT_TRUE(send().ok());
    EXPECT_EQ(send().code(), absl::StatusCode::kUnknown);
    EXPECT_EQ(m_server.requests, 2u);
    EXPECT_TRUE(send().ok());
    EXPECT_EQ(m_server.requests, 3u);
}

INSTANTIATE_TEST_SUITE_P(Stores, repeatable_call,
    testing::Values(store_call_case { "platformRenewal", &renewLease, &makePlatformStore },
        store_call_case { "platformRevocation", &revokeLease, &makePlatformStore },
        store_call_case { "ownRenewal", &renewLease, &makeOwnStore },
        store_call_case { "ownRevocation", &revokeLease, &makeOwnStore }),
    [](const auto& info) { return std::string(info.param.name); });

// A broken connection must not cost the leader a renewal of its lease.
TEST_P(repeatable_call, IsSentAgain)
{
    EXPECT_TRUE(send().ok());
    EXPECT_TRUE(send().ok());
    EXPECT_EQ(m_server.requests, 3u);
}
