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
        job_daemon(const job_daemon_settings& settings, const deployment& platform);
        ~job_daemon();
        job_daemon(const job_daemon&) = delete;
        job_daemon& operator=(const job_daemon&) = delete;

        absl::Status open();
        void run();

    private:
        static void onSignal(struct ev_loop* loop, ev_signal* watcher, int events);
        void beginShutdown();
        void handleServingStopped(const std::string& task);

        job_daemon_context m_context;
        transport::event_loop m_loop;
        coordinator_task m_coordinator;
        job_front_task m_front;
        std::set<std::string> m_servingTasks { "coordinator", "front" };
        ev_signal m_signals[3] {};
        bool m_isStopping = false;
    };

    job_daemon::job_daemon(const job_daemon_settings& settings, const deployment& platform)
        : m_coordinator(m_context, settings, platform)
        , m_front(m_context, settings, platform)
    {
        const int signalNumbers[] { SIGTERM, SIGINT, SIGHUP };
        for (std::size_t index = 0; index < std::size(signalNumbers); ++index) {
            ev_signal_init(&m_signals[index], &job_daemon::onSignal, signalNumbers[index]);
            m_signals[index].data = this;
            ev_signal_start(m_loop.nativeLoop(), &m_signals[index]);
        }
    }

    job_daemon::~job_daemon()
    {
        // The mailboxes are members of the context and outlive the event loops, so delivery must end first.
        m_context.daemon.close();
        for (auto& watcher : m_signals)
            ev_signal_stop(m_loop.nativeLoop(), &watcher);
        m_context.coordinator.close();
        m_context.front.close();
    }

    absl::Status job_daemon::open()
    {
        m_context.daemon.open(m_loop, [this](const job_daemon_message& message) { handleServingStopped(std::get<serving_stopped>(message).task); });
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
            // Settings of a running daemon do not change; a changed file is read at the next start.
            utils::logEvent(utils::events::processReloaded, { { "effect", "none until the next start" } });
            return;
        }
        static_cast<job_daemon*>(watcher->data)->beginShutdown();
    }

    void job_daemon::beginShutdown()
    {
        if (m_isStopping)
            return;
        m_isStopping = true;
        utils::logEvent(utils::events::processStopping, {});
        m_context.coordinator.post(stop_serving {});
        m_context.front.post(stop_serving {});
    }

    void job_daemon::handleServingStopped(const std::string& task)
    {
        m_servingTasks.erase(task);
        if (!m_servingTasks.empty())
            return;
        m_context.coordinator.post(end_loop {});
        m_context.front.post(end_loop {});
        m_loop.stop();
    }

    //! Sends log events to a writer for the lifetime of the object.
    struct scoped_log_writer {
        explicit scoped_log_writer(utils::log_writer& writer)
        {
            utils::setLogWriter(&writer);
        }

        ~scoped_log_writer()
        {
            utils::setLogWriter(nullptr);
        }

        scoped_log_writer(const scoped_log_writer&) = delete;
        scoped_log_writer& operator=(const scoped_log_writer&) = delete;
    };

} // namespace

int runJobDaemon(const job_daemon_settings& settings, const deployment& platform)
{
    google::InitGoogleLogging("camphorsaddle");
    signal(SIGPIPE, SIG_IGN);
    utils::log_writer log(STDOUT_FILENO);
    const scoped_log_writer scope(log);
    job_daemon process(settings, platform);
    if (const auto status = process.open(); !status.ok()) {
        std::cerr << utils::describe(status) << "\n";
        return 1;
    }
    utils::logEvent(utils::events::processStarted, { { "daemon", settings.daemonId }, { "data_centre", settings.dataCentre } });
    process.run();
    utils::logEvent(utils::events::processStopped, { { "daemon", settings.daemonId } });
    return 0;
}

} // namespace camphorsaddle::tasks
