#include "transport/http_client.h"
#include "transport/http_server.h"

#include <optional>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace camphorsaddle::transport {

namespace {

    constexpr utils::milliseconds testLimit { 10000 };

    class http : public testing::Test {
    protected:
        void listen(http_server::handler handler)
        {
            http_server_options options;
            options.bodyLimit = 1000;
            auto server = http_server::listen(m_loop, options, std::move(handler));
            ASSERT_TRUE(server.ok());
            m_server = std::move(*server);
        }

        http_result exchange(http_call call)
        {
            call.url = absl::StrCat("http://127.0.0.1:", m_server->port(), call.url);
            std::optional<http_result> result;
            m_client->start(std::move(call), [&](http_result received) {
                result = std::move(received);
                m_loop.stop();
            });
            timer limit(m_loop, [this] { m_loop.stop(); });
            limit.startOnce(testLimit);
            m_loop.run();
            return result.value_or(http_result { absl::DeadlineExceededError("test limit"), {}, false, false });
        }

        event_loop m_loop;
        std::unique_ptr<http_server> m_server;
        std::unique_ptr<http_client> m_client = http_client::create(m_loop);
    };

    TEST_F(http, RequestAndAnswerArriveWhole)
    {
        listen([](const http_request& request, const http_responder& responder) {
            responder.respond({ 201, { { "x-seen", request.header("x-sent") } }, absl::StrCat(request.method, " ", request.path, " ", request.parameter("a"), " ", request.body) });
        });
        const auto result = exchange({ .method = "PUT", .url = "/p%2Fq?a=b%20c", .headers = { { "X-Sent", "v" } }, .body = "text" });
        EXPECT_TRUE(result.status.ok()) << result.status;
        EXPECT_EQ(result.response.status, 201);
        EXPECT_EQ(result.response.headers.at("x-seen"), "v");
        EXPECT_EQ(result.response.body, "PUT /p%2Fq b c text");
        EXPECT_TRUE(result.mayHaveBeenSent);
    }

    TEST_F(http, CallerThatLeavesWhileItsAnswerIsAwaitedIsNoticed)
    {
        std::optional<http_responder> leaving;
        std::optional<http_responder> staying;
        listen([&](const http_request& request, const http_responder& responder) { (request.path == "/leaving" ? leaving : staying) = responder; });
        const std::string url = absl::StrCat("http://127.0.0.1:", m_server->port());
        const auto left = m_client->start({ .url = url + "/leaving" }, [](const http_result&) { FAIL() << "the call was cancelled"; });
        m_client->start({ .url = url + "/staying" }, [](const http_result&) {});
        timer limit(m_loop, [this] { m_loop.stop(); });
        limit.startOnce(testLimit);
        bool hasLeft = false;
        timer poll(m_loop, [&] {
            if (leaving && staying && !hasLeft)
                m_client->cancel(left);
            hasLeft = hasLeft || (leaving && staying);
            if (hasLeft && leaving->hasCallerDisconnected())
                m_loop.stop();
        });
        poll.startRepeating(utils::milliseconds(5));
        m_loop.run();
        ASSERT_TRUE(leaving && staying);
        EXPECT_TRUE(leaving->hasCallerDisconnected());
        EXPECT_FALSE(staying->hasCallerDisconnected());
        leaving->respond({ 200, {}, "nobody reads this" });
        staying->respond({ 200, {}, "late" });
    }

    TEST_F(http, LateAnswerResumesTheConnection)
    {
        std::optional<http_responder> waiting;
        timer later(m_loop, [&] { waiting->respond({ 200, {}, "late" }); });
        listen([&](const http_request&, const http_responder& responder) {
            waiting = responder;
            later.startOnce(utils::milliseconds(20));
        });
        EXPECT_EQ(exchange({ .url = "/" }).response.body, "late");
        EXPECT_TRUE(exchange({ .url = "/" }).connectionReused);
    }

    TEST_F(http, DroppedResponderAnswersWithAnError)
    {
        listen([](const http_request&, const http_responder&) {});
        EXPECT_EQ(exchange({ .url = "/" }).response.status, 500);
    }

    TEST_F(http, OversizedBodyIsRefused)
    {
        listen([](const http_request&, const http_responder& responder) { responder.respond({}); });
        EXPECT_EQ(exchange({ .method = "POST", .url = "/", .body = std::string(1000, 'x') }).response.status, 200);
        EXPECT_EQ(exchange({ .method = "POST", .url = "/", .body = std::string(1001, 'x') }).response.status, 413);
    }

    TEST_F(http, UnansweredCallTimesOutAsPossiblySent)
    {
        std::optional<http_responder> waiting;
        listen([&](const http_request&, const http_responder& responder) { waiting = responder; });
        const auto result = exchange({ .url = "/", .timeout = utils::milliseconds(50) });
        EXPECT_EQ(result.status.code(), absl::StatusCode::kDeadlineExceeded);
        EXPECT_TRUE(result.mayHaveBeenSent);
    }

    TEST_F(http, RefusedConnectionWasNotSent)
    {
        listen([](const http_request&, const http_responder&) {});
        m_server->stopAccepting();
        const auto port = m_server->port();
        m_server.reset();
        std::optional<http_result> result;
        m_client->start({ .url = absl::StrCat("http://127.0.0.1:", port, "/") }, [&](http_result received) {
            result = std::move(received);
            m_loop.stop();
        });
        m_loop.run();
        EXPECT_EQ(result->status.code(), absl::StatusCode::kUnavailable);
        EXPECT_FALSE(result->mayHaveBeenSent);
    }

    TEST(percent_encoding, RoundTrip)
    {
        for (const std::string text : { "plain", "a/b c", "%41", "\x01\xff", "" })
            EXPECT_EQ(percentDecode(percentEncode(text)), text);
    }

} // namespace

} // namespace camphorsaddle::transport
