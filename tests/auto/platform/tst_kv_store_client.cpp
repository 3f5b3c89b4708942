#include <gtest/gtest.h>

#include <optional>

#include "absl/strings/str_cat.h"
#include "platform/kv_store_client.h"

using namespace camphorsaddle;
using namespace camphorsaddle::platform;

namespace {

//! HTTP client that answers the calls at once, one body after the other, and the last one again.
class scripted_client final : public transport::http_client {
public:
    std::vector<std::string> bodies;
    std::vector<std::string> urls;

    transport::http_call_id start(transport::http_call call, transport::http_callback callback) override
    {
        const auto& body = bodies[std::min(urls.size(), bodies.size() - 1)];
        urls.push_back(call.url);
        if (urls.size() > maximumCalls)
            callback({ absl::DeadlineExceededError("too many calls"), {}, true, false });
        else
            callback({ absl::OkStatus(), { 200, {}, body }, true, false });
        return 1;
    }
    void cancel(transport::http_call_id) override { }
    void setMaximumIdleTime(utils::seconds) override { }
    void setMaximumConnectionAge(utils::seconds) override { }

private:
    static constexpr std::size_t maximumCalls = 20;
};

struct store_under_test {
    scripted_client http;
    utils::metric_registry metrics;
    kv_store_client client { http, "10.0.0.1:80", metrics };
};

std::string item(const std::string& key, int revision, const std::string& value)
{
    return R"({"Key":")" + key + R"(","Value":")" + value + R"(","Revision":)" + std::to_string(revision) + R"(,"Created":1,"Lease":0})";
}

std::string page(const std::string& items, bool hasMore)
{
    return R"({"CurrentRev":9,"items":[)" + items + R"(],"MorePages":)" + (hasMore ? "true" : "false") + "}";
}

const std::string a = item("s/a", 3, "YQ==");
const std::string z = item("s/z", 4, "eg==");

//! An item whose key can't be used; the others of its reply hold.
class unreadable_item : public testing::TestWithParam<std::string> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Items, unreadable_item,
    testing::Values("7", "null", "[]", "{}", R"({"Key":7,"Value":"YQ==","Revision":3})", R"({"Key":null,"Value":"YQ==","Revision":3})", R"({"Value":"YQ==","Revision":3})", R"({"Key":"s/b","Value":"YQ=="})", R"({"Key":"s/b","Value":"YQ==","Revision":-3})", R"({"Key":"s/b","Value":"YQ==","Revision":"3"})",
        R"({"Key":"s/b","Value":"YQ==","Revision":1e30})", R"({"Key":"s/b","Value":"YQ==","Revision":3,"Lease":"x"})", R"({"Key":"s/b","Value":"YQ==","Revision":3,"Lease":-1})", item(std::string(201, 'k'), 3, "YQ==")));

TEST_P(unreadable_item, LeavesTheOthersOfAListing)
{
    store_under_test store;
    store.http.bodies = { page(a + "," + GetParam() + "," + z, false) };
    std::optional<absl::StatusOr<external::key_listing>> listing;
    store.client.list("s/", "", 0, [&](auto result) { listing = std::move(result); });
    ASSERT_TRUE(listing && listing->ok()) << listing->status();
    EXPECT_EQ((*listing)->at, 9u);
    EXPECT_EQ((*listing)->entries, (std::vector<external::key_value> { { "s/a", 3, "a", 0 }, { "s/z", 4, "z", 0 } }));
}

TEST_P(unreadable_item, LeavesTheOthersOfAWatch)
{
    store_under_test store;
    store.http.bodies = { R"({"CurrentRev":9,"events":[)" + a + "," + GetParam() + R"(,{"Key":"s/c","Revision":5,"Tombstone":true},)" + z + "]}" };
    std::optional<absl::StatusOr<external::watch_result>> changes;
    store.client.watch("s/", 2, utils::milliseconds(1), [&](auto result) { changes = std::move(result); });
    ASSERT_TRUE(changes && changes->ok()) << changes->status();
    EXPECT_EQ((*changes)->changes, (std::vector<external::key_change> { { "s/a", 3, "a", false, 0 }, { "s/c", 5, "", true, 0 }, { "s/z", 4, "z", false, 0 } }));
}

// The next page begins after the last key that can be read.
TEST_P(unreadable_item, AtTheEndOfAPageLeavesTheNextPages)
{
    store_under_test store;
    store.http.bodies = { page(a + "," + GetParam(), true), page(GetParam() + "," + z, false) };
    std::optional<absl::StatusOr<external::key_listing>> listing;
    store.client.list("s/", "", 0, [&](auto result) { listing = std::move(result); });
    ASSERT_TRUE(listing && listing->ok()) << listing->status();
    EXPECT_EQ((*listing)->entries.size(), 2u);
    ASSERT_EQ(store.http.urls.size(), 2u);
    EXPECT_NE(store.http.urls[1].find("After=s%2fa"), std::string::npos) << store.http.urls[1];
}

TEST_P(unreadable_item, AloneOnAPageEndsTheListing)
{
    store_under_test store;
    store.http.bodies = { page(a, true), page(GetParam(), true) };
    std::optional<absl::StatusOr<external::key_listing>> listing;
    store.client.list("s/", "", 0, [&](auto result) { listing = std::move(result); });
    ASSERT_TRUE(listing);
    EXPECT_FALSE(listing->ok());
    EXPECT_EQ(store.http.urls.size(), 2u);
}

// The reader of the value rejects it, and a writer knows the version.
TEST(UnreadableValue, IsPassedOnAsEmpty)
{
    for (const char* value : { R"("***")", "7", "null", "[]", R"("YQ=")" }) {
        store_under_test store;
        store.http.bodies = { page(absl::StrCat(a, R"(,{"Key":"s/b","Revision":5,"Value":)", value, "},", z), false) };
        std::optional<absl::StatusOr<external::key_listing>> listing;
        store.client.list("s/", "", 0, [&](auto result) { listing = std::move(result); });
        ASSERT_TRUE(listing && listing->ok()) << value << listing->status();
        EXPECT_EQ((*listing)->entries, (std::vector<external::key_value> { { "s/a", 3, "a", 0 }, { "s/b", 5, "", 0 }, { "s/z", 4, "z", 0 } })) << value;
    }
}

TEST(OddReply, IsAnError)
{
    for (const std::string body : { "", "[]", "{", "{}", R"({"CurrentRev":-1,"items":[],"MorePages":false})", R"({"CurrentRev":"9","items":[],"MorePages":false})", R"({"CurrentRev":9,"items":{},"MorePages":false})", R"({"CurrentRev":9,"items":[],"MorePages":0})" }) {
        store_under_test store;
        store.http.bodies = { body };
        std::optional<absl::StatusOr<external::key_listing>> listing;
        store.client.list("s/", "", 0, [&](auto result) { listing = std::move(result); });
        ASSERT_TRUE(listing);
        EXPECT_FALSE(listing->ok()) << body;
        EXPECT_LE(listing->status().message().size(), 400u);
    }
}
