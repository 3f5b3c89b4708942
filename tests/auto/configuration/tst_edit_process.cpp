#include "configuration/edit_process.h"

#include "auto/settings/sample_files.h"
#include "configuration/difference.h"
#include "nlohmann/json.hpp"
#include "gtest/gtest.h"

namespace camphorsaddle::configuration {

namespace {

    const utils::time_point begin { utils::seconds(100) };
    const utils::time_point deadline = begin + utils::seconds(7);

    settings::configuration_edit baseEdit(std::uint64_t expected, const std::string& changeId)
    {
        return { "base", settings::readSourceFile("share/pregon-unido/base.json"), expected, "operator", changeId };
    }

    stored_record storedAfter(const std::vector<settings::configuration_edit>& edits)
    {
        stored_record stored;
        for (const auto& edit : edits) {
            stored.record = settings::applyEdit(stored.record, edit, {}).record;
            ++stored.version;
        }
        return stored;
    }

    edit_end endOf(const edit_step& step)
    {
        return std::get<edit_outcome>(step).end;
    }

    struct write_failure_case {
        const char* name;
        //! Errors of successive writes; reads between them find nothing stored.
        std::vector<absl::StatusCode> writes;
        edit_end end;
    };

    class write_failure : public testing::TestWithParam<write_failure_case> { };

    // Broken by letting giveUp always say NotWritten.
    TEST_P(write_failure, TellsWhetherTheEditMayBeWritten)
    {
        edit_process process(baseEdit(0, "a"), deadline);
        edit_step step = read_record {};
        for (const auto code : GetParam().writes) {
            step = process.onRead(absl::NotFoundError("no record"), begin, {});
            ASSERT_TRUE(std::holds_alternative<write_record>(step));
            step = process.onWritten(absl::Status(code, "failed"), begin);
        }
        if (!std::holds_alternative<edit_outcome>(step))
            step = process.onRead(absl::UnavailableError("refused"), begin, {});
        EXPECT_EQ(endOf(step), GetParam().end);
    }

    INSTANTIATE_TEST_SUITE_P(All, write_failure,
        testing::Values(
            write_failure_case { "Refused", { absl::StatusCode::kUnavailable }, edit_end::NotWritten },
            write_failure_case { "ConflictThenStoreGone", { absl::StatusCode::kAborted }, edit_end::NotWritten },
            write_failure_case { "LostThenRefused", { absl::StatusCode::kDeadlineExceeded, absl::StatusCode::kUnavailable }, edit_end::Unknown },
            write_failure_case { "LostThenStoreGone", { absl::StatusCode::kUnknown }, edit_end::Unknown },
            write_failure_case { "LostThenInvalid", { absl::StatusCode::kUnknown, absl::StatusCode::kInvalidArgument }, edit_end::Unknown }),
        [](const auto& info) { return info.param.name; });

    TEST(edit_process, FindsItsLostWriteByTheChangeId)
    {
        edit_process process(baseEdit(0, "a"), deadline);
        process.onRead(absl::NotFoundError("no record"), begin, {});
        EXPECT_TRUE(std::holds_alternative<read_record>(process.onWritten(absl::DeadlineExceededError("lost"), begin)));
        const auto step = process.onRead(storedAfter({ baseEdit(0, "a") }), begin, {});
        EXPECT_EQ(endOf(step), edit_end::Accepted);
        EXPECT_EQ(std::get<edit_outcome>(step).revision, 1U);
    }

    // A lost write against a former version can't land once the key has moved on.
    TEST(edit_process, SaysNotWrittenOnceAnotherWriteTookItsPlace)
    {
        edit_process process({ "overlays/a", "{}", 0, "operator", "mine" }, deadline);
        process.onRead(storedAfter({ baseEdit(0, "a") }), begin, {});
        process.onWritten(absl::UnknownError("lost"), begin);
        process.onRead(storedAfter({ baseEdit(0, "a"), baseEdit(1, "b") }), begin, {});
        EXPECT_EQ(endOf(process.onWritten(absl::UnavailableError("refused"), begin)), edit_end::NotWritten);
    }

    TEST(edit_process, EndsAtItsDeadline)
    {
        edit_process process(baseEdit(0, "a"), deadline);
        process.onRead(absl::NotFoundError("no record"), begin, {});
        EXPECT_EQ(endOf(process.onWritten(absl::UnknownError("lost"), deadline)), edit_end::Unknown);
        edit_process late(baseEdit(0, "a"), deadline);
        EXPECT_EQ(endOf(late.onRead(absl::NotFoundError("no record"), deadline, {})), edit_end::NotWritten);
    }

    TEST(edit_process, ShowsTheDifferenceOnAConflict)
    {
        const settings::configuration_edit first { "overlays/a", R"({"services":{"renewals":{"replicas":3}}})", 0, "one", "x" };
        edit_process process({ "overlays/a", R"({"services":{"renewals":{"replicas":4}}})", 0, "two", "y" }, deadline);
        const auto step = process.onRead(storedAfter({ baseEdit(0, "a"), first }), begin, {});
        const auto& outcome = std::get<edit_outcome>(step);
        EXPECT_EQ(outcome.end, edit_end::Conflict);
        EXPECT_EQ(outcome.revision, 2U);
        EXPECT_EQ(nlohmann::json::parse(outcome.difference), nlohmann::json::parse(R"([{"op":"replace","path":"/services/renewals/replicas","value":4}])"));
    }

    TEST(edit_process, ReportsAStoredRecordThatCannotBeRead)
    {
        edit_process process(baseEdit(0, "a"), deadline);
        EXPECT_EQ(endOf(process.onRead(absl::DataLossError("torn"), begin, {})), edit_end::Corrupt);
    }

    TEST(parseStored, KeepsErrorsAndReadsRecords)
    {
        const auto stored = storedAfter({ baseEdit(0, "a") });
        const auto parsed = parseStored(external::key_value { "config/current", 9, settings::formatRecord(stored.record) });
        ASSERT_TRUE(parsed.ok());
        EXPECT_EQ(parsed->record, stored.record);
        EXPECT_EQ(parsed->version, 9U);
        EXPECT_TRUE(absl::IsNotFound(parseStored(absl::NotFoundError("none")).status()));
        EXPECT_TRUE(absl::IsDataLoss(parseStored(external::key_value { "config/current", 9, "{" }).status()));
    }

    TEST(difference, OfTextsThatAreNoJsonIsNull)
    {
        EXPECT_EQ(differenceOf("{}", "{"), "null");
        EXPECT_EQ(differenceOf("", "{}"), "[]");
    }

} // namespace

} // namespace camphorsaddle::configuration
