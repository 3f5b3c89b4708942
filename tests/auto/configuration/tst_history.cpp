#include "configuration/history.h"

#include "gtest/gtest.h"

namespace camphorsaddle::configuration {

namespace {

    struct history_case {
        const char* name;
        history_filter filter;
        std::vector<std::uint64_t> revisions;
    };

    class history : public testing::TestWithParam<history_case> { };

    TEST_P(history, ListsTheNewestFirst)
    {
        settings::configuration_record record;
        record.history = { { 1, "base", "ana", "a", 0 }, { 2, "overlays/x", "ben", "b", 0 }, { 3, "base", "ben", "c", 0 } };
        std::vector<std::uint64_t> revisions;
        for (const auto& change : selectHistory(record, GetParam().filter))
            revisions.push_back(change.revision);
        EXPECT_EQ(revisions, GetParam().revisions);
    }

    INSTANTIATE_TEST_SUITE_P(All, history,
        testing::Values(
            history_case { "All", {}, { 3, 2, 1 } },
            history_case { "Document", { "base", "", 10 }, { 3, 1 } },
            history_case { "Operator", { "", "ben", 10 }, { 3, 2 } },
            history_case { "Both", { "base", "ben", 10 }, { 3 } },
            history_case { "Limit", { "base", "", 1 }, { 3 } }),
        [](const auto& info) { return info.param.name; });

    TEST(parseHistoryLimit, RejectsInvalidAndOutOfRangeNumbers)
    {
        EXPECT_EQ(*parseHistoryLimit(""), settings::maximumHistoryEntries);
        EXPECT_EQ(*parseHistoryLimit("7"), 7U);
        for (const auto* text : { "0", "-1", "201", "x" })
            EXPECT_TRUE(absl::IsInvalidArgument(parseHistoryLimit(text).status())) << text;
    }

} // namespace

} // namespace camphorsaddle::configuration
