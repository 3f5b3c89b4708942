#include <gtest/gtest.h>

#include <optional>

#include "absl/strings/str_cat.h"
#include "tasks/coordinator/job_daemon_settings.h"
#include "tasks/job_front/job_front_task.h"
#include "tasks/plain_deployment_format.h"
#include "transport/http_client.h"
#include "utils/overloaded.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;

namespace {

constexpr utils::milliseconds testLimit { 10'000 };
constexpr utils::milliseconds oldAge { 5000 };
const std::string callersHost = "jobs.example";

class plain_deployment final : public test::plain_deployment_format<deployment_adapter> {
public:
    std::unique_ptr<external::transactional_store> makeStore(transport::http_client&, utils::metric_registry&) const override
    {
        return nullptr;
    }

    std::unique_ptr<external::run_control> makeRunControl(transport::http_client&) const override
    {
        return nullptr;
    }
};

std::shared_ptr<const jobs::deployment_rules> rulesWith(std::uint64_t version, const std::vector<std::string>& queues)
{
    auto rules = std::make_shared<jobs::deployment_rules>();
    rules->version = version;
    for (const auto& name : queues) {
        jobs::queue_rules queue;
        queue.name = name;
        queue.host = callersHost;
        queue.prefix = "/" + name + "/";
        rules->queues.push_back(queue);
    }
    return rules;
}

} // namespace

struct old_rules_case {
    const char* name;
    std::string queue;
    utils::milliseconds rulesAge;
    bool isStoreFailing;
    //! Whether the coordinator can confirm the rules; the newest have the queues "old" and "added".
    bool canConfirm;
    int status;
    bool asksForConfirmation;
};

class job_front : public testing::TestWithParam<old_rules_case> {
};

INSTANTIATE_TEST_SUITE_P(Rules, job_front,
    testing::Values(old_rules_case { "addedQueue", "added", oldAge, false, true, 200, true },
        old_rules_case { "addedQueueNeverConfirmed", "added", oldAge, false, false, 503, true },
        old_rules_case { "addedQueueWithoutTheStore", "added", oldAge, true, false, 503, false },
        old_rules_case { "removedQueue", "removed", oldAge, false, true, 404, true },
        old_rules_case { "keptQueue", "old", oldAge, false, true, 200, true },
        old_rules_case { "keptQueueWithoutTheStore", "old", oldAge, true, false, 200, false },
        old_rules_case { "unknownQueueByRecentRules", "added", utils::milliseconds(0), false, false, 404, false }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(job_front, RequestIsRefusedByOutdatedRules)
{
    const auto& test = GetParam();
    // ZeroMQ releases the name of a closed mailbox only some time later.
    job_daemon_context context {
        transport::mailbox<coordinator_message>(absl::StrCat("coordinator of ", test.name)),
        transport::mailbox<job_front_message>(absl::StrCat("front of ", test.name)),
        transport::mailbox<job_daemon_message>(absl::StrCat("daemon of ", test.name)),
        {},
    };
    transport::event_loop loop;
    bool isAsked = false;
    context.coordinator.open(loop, [&](const coordinator_message& message) {
        std::visit(utils::overloaded {
                       [&](const job_call& call) { context.front.post(job_reply { call.ticket, call_outcome::Done, jobs::job_phase::Queued, 3, utils::milliseconds(0), {} }); },
                       [&](const confirm_rules&) {
                           isAsked = true;
                           if (test.canConfirm)
                               context.front.post(rules_state { rulesWith(2, { "old", "added" }), utils::nowIncludingSuspend(), rules_source::Store, false });
                       },
                       [](const auto&) {},
                   },
            message);
    });
    job_daemon_settings settings;
    settings.front = { "127.0.0.1", 0 };
    settings.readiness = { "127.0.0.1", 0 };
    const plain_deployment deployment;
    job_front_task front(context, settings, deployment);
    ASSERT_TRUE(front.open().ok());
    const auto url = absl::StrCat("http://127.0.0.1:", front.port(), "/", test.queue, "/");
    context.front.post(rules_state { rulesWith(1, { "old", "removed" }), utils::nowIncludingSuspend() - test.rulesAge, rules_source::Leader, test.isStoreFailing });
    front.start();

    const auto client = transport::http_client::create(loop);
    std::optional<transport::http_response> response;
    transport::http_call call;
    call.url = url;
    call.headers["host"] = callersHost;
    client->start(std::move(call), [&](transport::http_result result) {
        response = std::move(result.response);
        loop.stop();
    });
    transport::timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(testLimit);
    loop.run();
    context.front.post(stop_loop {});
    front.join();

    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, test.status);
    EXPECT_EQ(isAsked, test.asksForConfirmation);
    EXPECT_EQ(response->headers.contains("retry-after"), test.status == 503);
    context.front.close();
    context.coordinator.close();
}
