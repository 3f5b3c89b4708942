#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

using namespace camphorsaddle;
using namespace camphorsaddle::transport;

namespace {

constexpr utils::milliseconds testLimit { 20'000 };
constexpr utils::milliseconds callTimeout { 2000 };
constexpr utils::milliseconds blockedTimeAfterTimeout { 500 };
constexpr utils::milliseconds checkInterval { 1 };

//! An HTTP server on its own thread that answers its calls together, while the test allows it.
class answering_server {
public:
    explicit answering_server(std::size_t responseSize)
    {
        std::promise<std::uint16_t> port;
        auto listening = port.get_future();
        m_thread = std::thread([this, responseSize, port = std::move(port)]() mutable { run(responseSize, port); });
        m_port = listening.get();
    }

    ~answering_server()
    {
        m_isEnding = true;
        m_thread.join();
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    unsigned received() const
    {
        return m_received;
    }

    void setAnswering(bool isAnswering)
    {
        m_isAnswering = isAnswering;
    }

private:
    void run(std::size_t responseSize, std::promise<std::uint16_t>& port)
    {
        event_loop loop;
        std::vector<http_responder> unanswered;
        auto server = http_server::listen(loop, {}, [&](const http_request&, const http_responder& responder) {
            unanswered.push_back(responder);
            ++m_received;
        });
        ASSERT_TRUE(server.ok());
        port.set_value((*server)->port());
        timer check(loop, [&] {
            if (m_isEnding)
                loop.stop();
            if (!m_isAnswering)
                return;
            for (const auto& responder : std::exchange(unanswered, {}))
                responder.respond({ 200, {}, std::string(responseSize, 'x') });
        });
        check.startRepeating(checkInterval);
        loop.run();
    }

    std::atomic<bool> m_isEnding { false };
    std::atomic<bool> m_isAnswering { true };
    std::atomic<unsigned> m_received { 0 };
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace

struct blocked_loop_case {
    const char* name;
    unsigned calls;
    std::size_t responseSize;
    utils::milliseconds connectTimeout;
};

class blocked_loop : public testing::TestWithParam<blocked_loop_case> {
};

INSTANTIATE_TEST_SUITE_P(Responses, blocked_loop,
    testing::Values(blocked_loop_case { "one", 1, 100, callTimeout },
        blocked_loop_case { "shorterConnectTimeout", 1, 100, callTimeout / 2 },
        blocked_loop_case { "longerConnectTimeout", 1, 100, callTimeout * 2 },
        blocked_loop_case { "large", 1, 60'000, callTimeout },
        blocked_loop_case { "moreThanOnePollReports", 300, 100, callTimeout * 2 }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against calls that end as timed out although their response had arrived while the loop was busy. Seen on
// pregon-unido-large, whose leader then listed all workers again.
TEST_P(blocked_loop, CallWhoseResponseHasArrivedTimesOut)
{
    answering_server server(GetParam().responseSize);
    event_loop loop;
    const auto client = http_client::create(loop);
    unsigned succeeded = 0;
    unsigned ended = 0;
    const auto startCalls = [&] {
        succeeded = 0;
        ended = 0;
        for (unsigned number = 0; number < GetParam().calls; ++number) {
            http_call call;
            call.url = absl::StrCat("http://127.0.0.1:", server.port(), "/");
            call.timeout = callTimeout;
            call.connectTimeout = GetParam().connectTimeout;
            client->start(std::move(call), [&](const http_result& result) {
                succeeded += result.status.ok() && result.response.body.size() == GetParam().responseSize ? 1 : 0;
                if (++ended == GetParam().calls)
                    loop.stop();
            });
        }
    };
    timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(testLimit);
    // The first calls open the connections: libcurl's timers of a new connection would hide the fault.
    startCalls();
    loop.run();
    ASSERT_EQ(succeeded, GetParam().calls);
    server.setAnswering(false);
    startCalls();
    const auto startedAt = loop.now();
    timer blocker(loop, [&] {
        if (server.received() < 2 * GetParam().calls)
            return;
        server.setAnswering(true);
        std::this_thread::sleep_until(startedAt + callTimeout + blockedTimeAfterTimeout);
        blocker.stop();
    });
    blocker.startRepeating(checkInterval);
    loop.run();
    EXPECT_EQ(succeeded, GetParam().calls);
}
