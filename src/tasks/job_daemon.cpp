#include "tasks/job_daemon.h"

#include <signal.h>
#include <unistd.h>

#include <iostream>
#include <set>

#include "glog/logging.h"
#include "tasks/coordinator/coordinator_task.h"
#include "tasks/job_front/job_front_task.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/log_writer.h"

namespace camphorsaddle::tasks {

namespace {

    class job_daemon {
    public:
        job_daemon(const job_daemon_settings& settings, const deployment_adapter& deployment);
        ~job_daemon();
        job_daemon(const job_daemon&) = delete;
        job_daemon& operator=(const job_daemon&) = delete;

        absl::Status open();
        void run();

    private:
        static void onSignal(struct ev_loop* loop, ev_signal* watcher, int events);
        void beginShutdown();
        void onTaskStopped(const std::string& task);

        job_daemon_context m_context;
        transport::event_loop m_loop;
        coordinator_task m_coordinator;
        job_front_task m_front;
        std::set<std::string> m_servingTasks { "coordinator", "front" };
        ev_signal m_signalWatchers[3] {};
        bool m_isShuttingDown = false;
    };

    job_daemon::job_daemon(const job_daemon_settings& settings, const deployment_adapter& deployment)
        : m_coordinator(m_context, settings, deployment)
        , m_front(m_context, settings, deployment)
    {
        const int signalNumbers[] { SIGTERM, SIGINT, SIGHUP };
        for (std::size_t index = 0; index < std::size(signalNumbers); ++index) {
            ev_signal_init(&m_signalWatchers[index], &job_daemon::onSignal, signalNumbers[index]);
            m_signalWatchers[index].data = this;
            ev_signal_start(m_loop.nativeLoop(), &m_signalWatchers[index]);
        }
    }

    job_daemon::~job_daemon()
    {
        // Closes the mailboxes before the event loops that read them are destroyed.
        m_context.daemon.close();
        for (auto& watcher : m_signalWatchers)
            ev_signal_stop(m_loop.nativeLoop(), &watcher);
        m_context.coordinator.close();
        m_context.front.close();
    }

    absl::Status job_daemon::open()
    {
        m_context.daemon.open(m_loop, [this](const job_daemon_message& message) { onTaskStopped(std::get<serving_stopped>(message).task); });
        if (auto status = m_front.open(); !status.ok())
            return status;
        return m_coordinator.open();
    }

    void job_daemon::run()
    {
        m_coordinator.start();
        m_front.start();
        m_loop.run();
        m_coordinator.join();
        m_front.join();
    }

    void job_daemon::onSignal(struct ev_loop*, ev_signal* watcher, int)
    {
        if (watcher->signum == SIGHUP) {
            // A running daemon keeps its addresses and limits; a changed settings file is read at the next start.
            utils::logEvent(utils::events::processReloaded, { { "effect", "none until the next start" } });
            return;
        }
        static_cast<job_daemon*>(watcher->data)->beginShutdown();
    }

    void job_daemon::beginShutdown()
    {
        if (m_isShuttingDown)
            return;
        m_isShuttingDown = true;
        utils::logEvent(utils::events::processStopping, {});
        m_context.coordinator.post(stop_serving {});
        m_context.front.post(stop_serving {});
    }

    void job_daemon::onTaskStopped(const std::string& task)
    {
        m_servingTasks.erase(task);
        if (!m_servingTasks.empty())
            return;
        m_context.coordinator.post(stop_loop {});
        m_context.front.post(stop_loop {});
        m_loop.stop();
    }

    //! Directs log events to a writer while the object exists.
    struct log_scope {
        explicit log_scope(utils::log_writer& writer)
        {
            utils::setLogWriter(&writer);
        }

        ~log_scope()
        {
            utils::setLogWriter(nullptr);
        }

        log_scope(const log_scope&) = delete;
        log_scope& operator=(const log_scope&) = delete;
    };

} // namespace

int runJobDaemon(const job_daemon_settings& settings, const deployment_adapter& deployment)
{
    google::InitGoogleLogging("camphorsaddle");
    signal(SIGPIPE, SIG_IGN);
    utils::log_writer log(STDOUT_FILENO);
    const log_scope scope(log);
    job_daemon daemon(settings, deployment);
    if (const auto status = daemon.open(); !status.ok()) {
        std::cerr << utils::describe(status) << "\n";
        return 1;
    }
    utils::logEvent(utils::events::processStarted, { { "daemon", settings.daemonId }, { "data_centre", settings.dataCentre } });
    daemon.run();
    utils::logEvent(utils::events::processStopped, { { "daemon", settings.daemonId } });
    return 0;
}

} // namespace camphorsaddle::tasks
