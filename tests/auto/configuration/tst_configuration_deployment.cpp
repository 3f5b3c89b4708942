#include "absl/strings/str_cat.h"
#include "bench/configuration/deployment_model.h"
#include "gtest/gtest.h"

// Must be included after gtest.h, whose macros it uses.
#include "rapidcheck/gtest.h"

namespace camphorsaddle::bench {

namespace {

    using configuration::edit_outcome_type;

    constexpr std::size_t daemons = 5;
    constexpr utils::seconds maximumPropagationTime { 9 };

    enum class operation_kind {
        Submit,
        Race,
        StallWatch,
        ResumeWatch,
        Pause,
        StartStoreOutage,
        SlowStore,
        NormalStore,
        LoseReplies,
        StopLosses,
        Restart,
        Count,
    };

    struct operation {
        operation_kind kind = operation_kind::Submit;
        std::size_t daemon = 0;
        std::size_t site = 0;
        utils::milliseconds duration { 0 };
    };

    void showValue(const operation& testOperation, std::ostream& output)
    {
        output << static_cast<int>(testOperation.kind) << " daemon " << testOperation.daemon << " site " << testOperation.site << " span " << testOperation.duration.count();
    }

    rc::Gen<operation> arbitraryOperation()
    {
        return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(operation_kind::Count)), rc::gen::inRange<std::size_t>(0, daemons), rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 4000)),
            [](const auto& parts) {
                return operation { static_cast<operation_kind>(std::get<0>(parts)), std::get<1>(parts), std::get<2>(parts), utils::milliseconds(std::get<3>(parts)) };
            });
    }

    // Two operators submit edits of the same document revision to two daemons.
    void race(deployment_model& model, const operation& testOperation, int replicas)
    {
        const auto document = absl::StrCat("overlays/site-", testOperation.site);
        const auto& documents = model.activeRecord(testOperation.daemon).documents;
        const auto found = documents.find(document);
        const std::uint64_t expected = found == documents.end() ? 0 : found->second.revision;
        for (std::size_t operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
            const auto number = static_cast<int>(operatorIndex) + replicas;
            model.submitEdit((testOperation.daemon + operatorIndex) % daemons, { document, absl::StrCat(R"({"services":{"renewals":{"replicas":)", number, "}}}"), expected, "operator", absl::StrCat("race-", model.submissions().size()) });
        }
    }

    void apply(deployment_model& model, const operation& testOperation)
    {
        const int replicas = 3 + static_cast<int>(model.submissions().size() % 3);
        switch (testOperation.kind) {
        case operation_kind::Submit:
            model.submitOverlayEdit(testOperation.daemon, testOperation.site, replicas);
            break;
        case operation_kind::Race:
            race(model, testOperation, replicas);
            break;
        case operation_kind::StallWatch:
        case operation_kind::ResumeWatch:
            model.setWatchStalled(testOperation.daemon, testOperation.kind == operation_kind::StallWatch);
            break;
        case operation_kind::Pause:
            model.pauseDaemon(testOperation.daemon, testOperation.duration);
            break;
        case operation_kind::StartStoreOutage:
            model.startStoreOutage(2 * testOperation.duration);
            break;
        case operation_kind::SlowStore:
            model.setStoreDelay(testOperation.duration);
            break;
        case operation_kind::NormalStore:
            model.setStoreDelay(utils::milliseconds(0));
            break;
        case operation_kind::LoseReplies:
            model.setLossRates(0.3, 0.02);
            break;
        case operation_kind::StopLosses:
            model.setLossRates(0, 0);
            break;
        case operation_kind::Restart:
            model.restartDaemon(testOperation.daemon);
            break;
        case operation_kind::Count:
            break;
        }
        model.run(testOperation.duration);
    }

    std::size_t countInHistory(const deployment_model& model, const std::string& changeId)
    {
        const auto& history = model.stored().history;
        return static_cast<std::size_t>(std::count_if(history.begin(), history.end(), [&](const auto& change) { return change.changeId == changeId; }));
    }

    void checkOutcomes(const deployment_model& model)
    {
        std::map<std::pair<std::string, std::uint64_t>, int> winners;
        for (const auto& submission : model.submissions()) {
            const auto times = countInHistory(model, submission.edit.changeId);
            RC_ASSERT(times <= 1U);
            if (times == 1)
                RC_ASSERT(++winners[std::make_pair(submission.edit.document, submission.edit.expectedRevision)] == 1);
            if (!submission.hasEnded)
                continue;
            if (submission.outcome.type == edit_outcome_type::Accepted)
                RC_ASSERT(times == 1U);
            if (submission.outcome.type == edit_outcome_type::NotWritten || submission.outcome.type == edit_outcome_type::Conflict)
                RC_ASSERT(times == 0U);
            if (submission.outcome.type == edit_outcome_type::Conflict) {
                RC_ASSERT(submission.outcome.revision != submission.edit.expectedRevision);
                RC_ASSERT(submission.outcome.jsonPatch.front() == '[');
            }
        }
    }

    // Each daemon must activate an accepted edit within 9 s of the acceptance, or of its own last start or pause end if that is
    // later.
    void checkPropagation(const deployment_model& model)
    {
        for (const auto& submission : model.submissions()) {
            if (!submission.hasEnded || submission.outcome.type != edit_outcome_type::Accepted)
                continue;
            for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
                const auto from = std::max(submission.endedAt, model.runningSince(daemon));
                RC_ASSERT(model.activeSince(daemon, submission.outcome.revision) <= from + maximumPropagationTime);
            }
        }
    }

    // Guards against lost, duplicated and reverted edits and against daemons that stay on an old configuration, under random
    // combinations of faults. docs/TESTING.md, "configuration", lists mutations of the code that make it fail.
    RC_GTEST_PROP(configuration_deployment, NeitherLosesNorRevertsEditsUnderFaults, ())
    {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto operations = *rc::gen::container<std::vector<operation>>(arbitraryOperation());
        deployment_model model(daemons, seed);
        for (const auto& testOperation : operations)
            apply(model, testOperation);
        model.setStoreDelay(utils::milliseconds(0));
        model.setLossRates(0, 0);
        model.run(utils::seconds(30));
        RC_ASSERT(model.orderViolationCount() == 0U);
        checkOutcomes(model);
        checkPropagation(model);
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            RC_ASSERT(model.activeRecord(daemon) == model.stored());
    }

    TEST(configuration_deployment, DaemonGetsConfigurationFromPeersWhileStoreIsDown)
    {
        deployment_model model(daemons, 7);
        model.startStoreOutage(utils::seconds(3600));
        model.restartDaemon(2);
        model.run(utils::seconds(9));
        EXPECT_EQ(model.activeRecord(2), model.stored());
    }

    TEST(configuration_deployment, AcceptsOneOfTwoConcurrentEdits)
    {
        deployment_model model(daemons, 20261204);
        for (int round = 0; round < 60; ++round) {
            const auto first = model.submissions().size();
            race(model, { operation_kind::Race, static_cast<std::size_t>(round) % daemons, 0, {} }, 3 + 2 * (round % 2));
            model.run(utils::seconds(10));
            const auto& firstOutcome = model.submissions()[first].outcome;
            const auto& secondOutcome = model.submissions()[first + 1].outcome;
            const bool isFirstAccepted = firstOutcome.type == edit_outcome_type::Accepted;
            EXPECT_EQ((isFirstAccepted ? secondOutcome : firstOutcome).type, edit_outcome_type::Conflict);
            EXPECT_EQ((isFirstAccepted ? firstOutcome : secondOutcome).type, edit_outcome_type::Accepted);
            EXPECT_EQ(firstOutcome.revision, secondOutcome.revision);
        }
        EXPECT_EQ(model.stored().revision, 61U);
    }

} // namespace

} // namespace camphorsaddle::bench
