#pragma once

#include <cstdint>
#include <memory>

#include "settings/process_settings.h"
#include "tasks/caller_limits.h"
#include "tasks/messages.h"
#include "transport/mailbox.h"
#include "transport/request_memory_tracker.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

//! \brief The mailboxes of the tasks of a daemon.
struct task_mailboxes {
    transport::mailbox<gateway_message> gateway { "gateway" };
    transport::mailbox<scheduler_message> scheduler { "scheduler" };
    transport::mailbox<configurator_message> configurator { "configurator" };
    transport::mailbox<membership_message> membership { "membership" };
    transport::mailbox<administration_message> administration { "administration" };
    transport::mailbox<keys_message> keys { "keys" };
    transport::mailbox<application_message> application { "application" };

    //! \brief Posts a message to every task.
    template <typename Message>
    void postToAll(const Message& message)
    {
        gateway.post(message);
        scheduler.post(message);
        configurator.post(message);
        membership.post(message);
        administration.post(message);
        keys.post(message);
    }

    //! \brief Ends delivery to all mailboxes; must be called after all tasks have ended.
    void closeAll()
    {
        gateway.close();
        scheduler.close();
        configurator.close();
        membership.close();
        administration.close();
        keys.close();
        application.close();
    }
};

//! \brief State shared by all tasks of a daemon; must outlive them.
struct daemon_context {
    settings::process_settings settings;
    //! Distinguishes this process from earlier ones with the same daemon id.
    std::uint64_t incarnation = 0;
    utils::metric_registry metrics;
    task_mailboxes mailboxes;
    //! Shared by the gateway and the administration.
    std::shared_ptr<transport::request_memory_tracker> callerTracker = std::make_shared<transport::request_memory_tracker>(callerLimits(settings.limits, transport::readHostResources()), metrics);
};

} // namespace camphorsaddle::tasks
