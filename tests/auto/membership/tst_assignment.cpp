#include "membership/assignment.h"

#include <map>

#include "absl/strings/str_cat.h"

#include "gtest/gtest.h"

#include "rapidcheck/gtest.h"

namespace camphorsaddle::membership {

namespace {

    member daemon(int index, const std::string& region)
    {
        return { absl::StrCat("daemon-", index), region + "-a", region, {}, {}, {}, 0 };
    }

    member_view fleet(int near, int far)
    {
        std::vector<member> members;
        const int count = near + far;
        members.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index)
            members.push_back(daemon(index, index < near ? "near" : "far"));
        return makeView(1, std::move(members));
    }

    shard_location place(int index)
    {
        return { absl::StrCat("shard-", index), "near-a", "near" };
    }

    TEST(ownerOf, IsNullForAnEmptyView)
    {
        EXPECT_EQ(ownerOf(place(0), {}), nullptr);
    }

    TEST(ownerOf, PrefersTheRegion)
    {
        for (int index = 0; index < 100; ++index) {
            EXPECT_EQ(ownerOf(place(index), fleet(1, 6))->id, "daemon-0");
            EXPECT_NE(ownerOf(place(index), fleet(0, 3)), nullptr);
        }
    }

    TEST(ownerOf, TakesAnotherRegionOnlyWhereItReachesTheWorkers)
    {
        auto view = fleet(0, 3);
        view.members[0].unreachable = { "near-a", "near-b" };
        view.members[1].unreachable = { "near-a" };
        for (int index = 0; index < 100; ++index)
            EXPECT_EQ(ownerOf(place(index), view)->id, "daemon-2");
        view.members[2].unreachable = { "near-a" };
        EXPECT_EQ(ownerOf(place(0), view), nullptr);
        EXPECT_TRUE(successorsOf(place(0), view).empty());
        auto own = fleet(1, 0);
        own.members[0].unreachable = { "near-a" };
        EXPECT_NE(ownerOf(place(0), own), nullptr);
    }

    TEST(ownerOf, SpreadsShards)
    {
        std::map<std::string, int> owned;
        const auto view = fleet(5, 2);
        for (int index = 0; index < 1000; ++index)
            ++owned[ownerOf(place(index), view)->id];
        ASSERT_EQ(owned.size(), 5U);
        for (const auto& [id, count] : owned)
            EXPECT_NEAR(count, 200, 80) << id;
    }

    RC_GTEST_PROP(ownerOf, MovesOnlyTheShardsOfAMemberThatGoes, ())
    {
        const int near = *rc::gen::inRange(0, 6);
        const int far = *rc::gen::inRange(1, 6);
        const auto before = fleet(near, far);
        auto after = before;
        const auto gone = *rc::gen::inRange<std::size_t>(0, before.members.size());
        after.members.erase(after.members.begin() + static_cast<std::ptrdiff_t>(gone));
        const auto shard = place(*rc::gen::inRange(0, 10000));
        const auto* owner = ownerOf(shard, before);
        const auto* next = ownerOf(shard, after);
        const auto order = successorsOf(shard, before);
        RC_ASSERT(order.size() == before.members.size());
        RC_ASSERT(order.front() == owner);
        if (owner->id != before.members[gone].id)
            RC_ASSERT(next->id == owner->id);
        else if (next)
            RC_ASSERT(next->id == order[1]->id);
    }

    RC_GTEST_PROP(parseMember, ReadsWhatFormatMemberWrites, ())
    {
        const auto text = rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127));
        const member original { "id" + *text, *text, *text, *text, *text, *text, *rc::gen::arbitrary<std::uint64_t>(), { *text } };
        const auto parsed = parseMember(formatMember(original), "members/x");
        RC_ASSERT(parsed.ok());
        RC_ASSERT(*parsed == original);
    }

    class wrong_member : public testing::TestWithParam<const char*> { };

    TEST_P(wrong_member, IsRefusedWithTheKey)
    {
        const auto result = parseMember(GetParam(), "members/x");
        EXPECT_TRUE(absl::IsInvalidArgument(result.status()));
    }

    INSTANTIATE_TEST_SUITE_P(values, wrong_member, testing::Values("", "[]", "{}", R"({"id":7})", R"({"id":"a","data_centre":"b"})"));

    TEST(makeView, SortsAndKeepsTheGreatestIncarnation)
    {
        auto older = daemon(1, "near");
        auto newer = older;
        newer.incarnation = 2;
        const auto view = makeView(7, { daemon(2, "near"), older, newer });
        ASSERT_EQ(view.members.size(), 2U);
        EXPECT_EQ(view.members[0], newer);
    }

} // namespace

} // namespace camphorsaddle::membership
