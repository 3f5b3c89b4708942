#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "jobs/replying_worker.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

struct end_list_case {
    const char* name;
    //! Numbers of the ends in the reports of the worker, in order.
    std::vector<std::vector<std::uint64_t>> reports;
    //! The process that gives them has begun in the term.
    bool hasRestarted;
    //! Part of the detail of the lines that are logged.
    std::vector<std::string> details;
};

class end_lists_of_a_worker : public testing::TestWithParam<end_list_case> {
};

INSTANTIATE_TEST_SUITE_P(Lists, end_lists_of_a_worker,
    testing::Values(end_list_case { "withoutGaps", { { 1, 2 }, { 2, 3 }, { 4 } }, false, {} },
        end_list_case { "acknowledgedByTheFormerLeader", { { 131 }, { 132 } }, false, {} },
        end_list_case { "gap", { { 1, 2 }, { 6, 7 }, { 8 } }, false, { "first=3 last=5" } },
        end_list_case { "twoGaps", { { 1 }, { 3 }, { 3, 4 }, { 7 } }, false, { "first=2 last=2", "first=5 last=6" } },
        end_list_case { "nextProcess", { { 1 }, { 2 } }, true, {} },
        end_list_case { "nextProcessHasForgottenEnds", { { 13 }, { 14 } }, true, { "first=1 last=12" } }),
    [](const auto& info) { return std::string(info.param.name); });

// Without a line a run whose end was forgotten looks like one that its worker has lost.
TEST_P(end_lists_of_a_worker, ShowForgottenEndsOnce)
{
    std::vector<engine_event> events;
    replying_worker worker([&](const engine_event& event) {
        if (event.kind == engine_event_kind::EndsForgotten)
            events.push_back(event);
    });
    worker.engine().add(makeJob("job", { serviceStep(1, "image") }), worker.now());
    worker.decide();
    const auto start = *worker.takeStart();
    worker.reply(start, external::order_outcome::Accepted);
    const auto incarnation = replying_worker::firstIncarnation + (GetParam().hasRestarted ? 1 : 0);
    for (const auto& numbers : GetParam().reports) {
        worker.decide(utils::milliseconds(300));
        const auto observation = worker.takeObservation();
        ASSERT_TRUE(observation);
        std::vector<external::run_end> ended;
        ended.reserve(numbers.size());
        for (const auto number : numbers)
            ended.push_back({ number, { { "unknown", 0, 0, 0 }, number }, external::end_cause::Done, "" });
        worker.answer(*observation, incarnation, { start.order.run }, std::move(ended));
    }
    ASSERT_EQ(events.size(), GetParam().details.size());
    for (std::size_t index = 0; index < events.size(); ++index) {
        EXPECT_EQ(events[index].worker, "w0");
        EXPECT_TRUE(absl::StrContains(events[index].detail, GetParam().details[index])) << events[index].detail;
    }
}
