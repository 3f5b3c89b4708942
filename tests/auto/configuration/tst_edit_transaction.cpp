#include "configuration/edit_transaction.h"

#include "auto/settings/sample_files.h"
#include "configuration/json_patch.h"
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

    edit_outcome_type outcomeType(const edit_action& action)
    {
        return std::get<edit_outcome>(action).type;
    }

    struct write_failure_case {
        const char* name;
        //! Errors of successive writes; each read finds no stored record.
        std::vector<absl::StatusCode> writes;
        edit_outcome_type type;
    };

    class write_failure : public testing::TestWithParam<write_failure_case> { };

    // Fails if makeFailure() returns NotWritten although an earlier write may have reached the store.
    TEST_P(write_failure, ReportsWhetherTheEditMayHaveBeenWritten)
    {
        edit_transaction transaction(baseEdit(0, "a"), deadline);
        edit_action action = read_record {};
        for (const auto code : GetParam().writes) {
            action = transaction.handleReadReply(absl::NotFoundError("no record"), begin, {});
            ASSERT_TRUE(std::holds_alternative<write_record>(action));
            action = transaction.handleWriteReply(absl::Status(code, "failed"), begin);
        }
        if (!std::holds_alternative<edit_outcome>(action))
            action = transaction.handleReadReply(absl::UnavailableError("refused"), begin, {});
        EXPECT_EQ(outcomeType(action), GetParam().type);
    }

    INSTANTIATE_TEST_SUITE_P(All, write_failure,
        testing::Values(
            write_failure_case { "Refused", { absl::StatusCode::kUnavailable }, edit_outcome_type::NotWritten },
            write_failure_case { "ConflictThenStoreGone", { absl::StatusCode::kAborted }, edit_outcome_type::NotWritten },
            write_failure_case { "LostThenRefused", { absl::StatusCode::kDeadlineExceeded, absl::StatusCode::kUnavailable }, edit_outcome_type::Unknown },
            write_failure_case { "LostThenStoreGone", { absl::StatusCode::kUnknown }, edit_outcome_type::Unknown },
            write_failure_case { "LostThenInvalid", { absl::StatusCode::kUnknown, absl::StatusCode::kInvalidArgument }, edit_outcome_type::Unknown }),
        [](const auto& info) { return info.param.name; });

    TEST(edit_transaction, FindsAWriteWithoutReplyByItsChangeId)
    {
        edit_transaction transaction(baseEdit(0, "a"), deadline);
        transaction.handleReadReply(absl::NotFoundError("no record"), begin, {});
        EXPECT_TRUE(std::holds_alternative<read_record>(transaction.handleWriteReply(absl::DeadlineExceededError("lost"), begin)));
        const auto action = transaction.handleReadReply(storedAfter({ baseEdit(0, "a") }), begin, {});
        EXPECT_EQ(outcomeType(action), edit_outcome_type::Accepted);
        EXPECT_EQ(std::get<edit_outcome>(action).revision, 1U);
    }

    // The store rejects an outstanding write once the key has a newer version than the one that the write replaces.
    TEST(edit_transaction, ReportsNotWrittenAfterAConcurrentWrite)
    {
        edit_transaction transaction({ "overlays/a", "{}", 0, "operator", "mine" }, deadline);
        transaction.handleReadReply(storedAfter({ baseEdit(0, "a") }), begin, {});
        transaction.handleWriteReply(absl::UnknownError("lost"), begin);
        transaction.handleReadReply(storedAfter({ baseEdit(0, "a"), baseEdit(1, "b") }), begin, {});
        EXPECT_EQ(outcomeType(transaction.handleWriteReply(absl::UnavailableError("refused"), begin)), edit_outcome_type::NotWritten);
    }

    TEST(edit_transaction, StopsAtItsDeadline)
    {
        edit_transaction transaction(baseEdit(0, "a"), deadline);
        transaction.handleReadReply(absl::NotFoundError("no record"), begin, {});
        EXPECT_EQ(outcomeType(transaction.handleWriteReply(absl::UnknownError("lost"), deadline)), edit_outcome_type::Unknown);
        edit_transaction late(baseEdit(0, "a"), deadline);
        EXPECT_EQ(outcomeType(late.handleReadReply(absl::NotFoundError("no record"), deadline, {})), edit_outcome_type::NotWritten);
    }

    TEST(edit_transaction, ReturnsAJsonPatchOnAConflict)
    {
        const settings::configuration_edit first { "overlays/a", R"({"services":{"renewals":{"replicas":3}}})", 0, "one", "x" };
        edit_transaction transaction({ "overlays/a", R"({"services":{"renewals":{"replicas":4}}})", 0, "two", "y" }, deadline);
        const auto action = transaction.handleReadReply(storedAfter({ baseEdit(0, "a"), first }), begin, {});
        const auto& outcome = std::get<edit_outcome>(action);
        EXPECT_EQ(outcome.type, edit_outcome_type::Conflict);
        EXPECT_EQ(outcome.revision, 2U);
        EXPECT_EQ(nlohmann::json::parse(outcome.jsonPatch), nlohmann::json::parse(R"([{"op":"replace","path":"/services/renewals/replicas","value":4}])"));
    }

    TEST(edit_transaction, ReportsACorruptStoredRecord)
    {
        edit_transaction transaction(baseEdit(0, "a"), deadline);
        EXPECT_EQ(outcomeType(transaction.handleReadReply(absl::DataLossError("torn"), begin, {})), edit_outcome_type::Corrupt);
    }

    TEST(parseStoredRecord, ParsesRecordsAndReturnsErrors)
    {
        const auto stored = storedAfter({ baseEdit(0, "a") });
        const auto parsed = parseStoredRecord(external::key_value { "config/current", 9, settings::formatRecord(stored.record) });
        ASSERT_TRUE(parsed.ok());
        EXPECT_EQ(parsed->record, stored.record);
        EXPECT_EQ(parsed->version, 9U);
        EXPECT_TRUE(absl::IsNotFound(parseStoredRecord(absl::NotFoundError("none")).status()));
        EXPECT_TRUE(absl::IsDataLoss(parseStoredRecord(external::key_value { "config/current", 9, "{" }).status()));
    }

    TEST(createJsonPatch, ReturnsNullForInvalidJson)
    {
        EXPECT_EQ(createJsonPatch("{}", "{"), "null");
        EXPECT_EQ(createJsonPatch("", "{}"), "[]");
    }

} // namespace

} // namespace camphorsaddle::configuration
