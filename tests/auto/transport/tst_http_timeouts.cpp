#include <gtest/gtest.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

using namespace camphorsaddle;
using namespace camphorsaddle::transport;

namespace {

constexpr utils::milliseconds testLimit { 10'000 };
constexpr utils::milliseconds startInterval { 7 };
constexpr unsigned callCount = 60;

} // namespace

struct timeout_case {
    const char* name;
    utils::milliseconds timeout;
    utils::milliseconds connectTimeout;
};

class http_timeouts : public testing::TestWithParam<timeout_case> {
};

INSTANTIATE_TEST_SUITE_P(TotalAndConnectTimeout, http_timeouts,
    testing::Values(timeout_case { "totalLongerByAMillisecond", utils::milliseconds(201), utils::milliseconds(200) },
        timeout_case { "equal", utils::milliseconds(200), utils::milliseconds(200) },
        timeout_case { "totalShorterByAMillisecond", utils::milliseconds(200), utils::milliseconds(201) },
        timeout_case { "totalMuchShorter", utils::milliseconds(200), utils::milliseconds(2000) }),
    [](const auto& info) { return std::string(info.param.name); });

// libcurl discards a timeout that is due within a millisecond after another one of the same call.
TEST_P(http_timeouts, CallToASilentServerNeverEnds)
{
    event_loop loop;
    std::vector<http_responder> unanswered;
    auto server = http_server::listen(loop, {}, [&](const http_request&, const http_responder& responder) { unanswered.push_back(responder); });
    ASSERT_TRUE(server.ok());
    const auto client = http_client::create(loop);
    unsigned started = 0;
    unsigned timedOut = 0;
    timer starts(loop, [&] {
        if (started++ >= callCount)
            return;
        http_call call;
        call.url = absl::StrCat("http://127.0.0.1:", (*server)->port(), "/");
        call.timeout = GetParam().timeout;
        call.connectTimeout = GetParam().connectTimeout;
        client->start(std::move(call), [&](const http_result& result) {
            EXPECT_EQ(result.status.code(), absl::StatusCode::kDeadlineExceeded);
            EXPECT_TRUE(result.mayHaveBeenSent);
            if (++timedOut == callCount)
                loop.stop();
        });
    });
    starts.startRepeating(startInterval);
    timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(testLimit);
    loop.run();
    EXPECT_EQ(timedOut, callCount);
}
