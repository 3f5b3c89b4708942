#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "absl/strings/str_cat.h"
#include "standins/delay_queue.h"
#include "standins/store.h"

using namespace camphorsaddle;
using standins::store;
using standins::store_outcome;
using utils::milliseconds;

namespace {

constexpr utils::time_point startTime {};

struct write_case {
    const char* name;
    std::uint64_t expectedVersion;
    std::uint64_t lease;
    standins::store_result result;
};

class store_write_test : public testing::TestWithParam<write_case> {
};

TEST_P(store_write_test, comparesVersionAndLease)
{
    store content;
    content.write({ "key", "first", 0, 0 });
    EXPECT_EQ(content.write({ "key", "second", GetParam().expectedVersion, GetParam().lease }), GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(all, store_write_test,
    testing::Values(write_case { "present", 1, 0, { store_outcome::Done, 2 } }, write_case { "absent", 0, 0, { store_outcome::VersionMismatch, 1 } },
        write_case { "later", 2, 0, { store_outcome::VersionMismatch, 1 } }, write_case { "unknownLease", 1, 9, { store_outcome::LeaseEnded, 1 } }),
    [](const auto& info) { return info.param.name; });

} // namespace

TEST(store, deletesKeysOfExpiredLease)
{
    store content;
    const auto lease = content.grantLease(milliseconds(100), startTime);
    content.write({ "kept", "", 0, 0 });
    content.write({ "leased", "", 0, lease });
    EXPECT_TRUE(content.renewLease(lease, startTime + milliseconds(90)));
    EXPECT_FALSE(content.expireLeases(startTime + milliseconds(180)));
    EXPECT_TRUE(content.expireLeases(startTime + milliseconds(190)));
    EXPECT_FALSE(content.renewLease(lease, startTime + milliseconds(190)));
    EXPECT_EQ(content.entries().size(), 1U);
    EXPECT_TRUE(content.changesAfter("leased", 2)->front().deleted);
}

RC_GTEST_PROP(store, watcherReceivesAllChangesOrDetectsGap, ())
{
    const std::size_t limit = 8;
    store content(limit);
    const auto keys = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    std::uint64_t after = 0;
    for (const int key : keys) {
        const std::string name = absl::StrCat("k", key);
        const auto found = content.entries().find(name);
        if (found == content.entries().end())
            content.write({ name, "", 0, 0 });
        else
            content.erase(name, found->second.version);
        const bool readsChanges = *rc::gen::arbitrary<bool>();
        if (!readsChanges)
            continue;
        const auto changes = content.changesAfter("", after);
        RC_ASSERT(changes.has_value() == (content.revision() - after <= limit));
        if (changes)
            RC_ASSERT(changes->size() == content.revision() - after);
        after = content.revision();
    }
}

TEST(delay_queue, callsInOrderOfDueTime)
{
    transport::event_loop loop;
    standins::delay_queue delays(loop);
    std::vector<int> called;
    delays.callAfter(milliseconds(20), [&] {
        called.push_back(2);
        loop.stop();
    });
    delays.callAfter(milliseconds(1), [&] { called.push_back(1); });
    transport::timer timeout(loop, [&] { loop.stop(); });
    timeout.startOnce(milliseconds(5000));
    loop.run();
    EXPECT_EQ(called, (std::vector<int> { 1, 2 }));
}
