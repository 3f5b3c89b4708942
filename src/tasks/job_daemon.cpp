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
        job_daemon(const job_daemon_settings& settings, const deployment& format);
        ~job_daemon();
        job_daemon(const job_daemon&) = delete;
        job_daemon& operator=(const job_daemon&) = delete;

        absl::Status open();
        void run();

    private:
        static void onSignal(struct ev_loop* loop, ev_signal* watcher, int events);
        void beginStop();
        void onStopped(const std::string& task);

        job_daemon_context m_context;
        transport::event_loop m_loop;
        coordinator_task m_coordinator;
        job_front_task m_front;
        std::set<std::string> m_serving { "coordinator", "front" };
        ev_signal m_signals[3] {};
        bool m_isStopping = false;
    };

    job_daemon::job_daemon(const job_daemon_settings& settings, const deployment& format)
        : m_coordinator(m_context, settings, format)
        , m_front(m_context, settings, format)
    {
        const int numbers[] { SIGTERM, SIGINT, SIGHUP };
        for (std::size_t index = 0; index < std::size(numbers); ++index) {
            ev_signal_init(&m_signals[index], &job_daemon::onSignal, numbers[index]);
            m_signals[index].data = this;
            ev_signal_start(m_loop.nativeLoop(), &m_signals[index]);
        }
    }

    job_daemon::~job_daemon()
    {
        // The mailboxes outlive the loops on which they are read.
        m_context.daemon.close();
        for (auto& watcher : m_signals)
            ev_signal_stop(m_loop.nativeLoop(), &watcher);
        m_context.coordinator.close();
        m_context.front.close();
    }

    absl::Status job_daemon::open()
    {
        m_context.daemon.open(m_loop, [this](const job_daemon_message& message) { onStopped(std::get<serving_stopped>(message).task); });
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
            // Addresses and bounds of a running daemon do not change; a new file is read at the next start.
            utils::logEvent(utils::events::processReloaded, { { "effect", "none until the next start" } });
            return;
        }
        static_cast<job_daemon*>(watcher->data)->beginStop();
    }

    void job_daemon::beginStop()
    {
        if (m_isStopping)
            return;
        m_isStopping = true;
        utils::logEvent(utils::events::processStopping, {});
        m_context.coordinator.post(stop_serving {});
        m_context.front.post(stop_serving {});
    }

    void job_daemon::onStopped(const std::string& task)
    {
        m_serving.erase(task);
        if (!m_serving.empty())
            return;
        m_context.coordinator.post(end_loop {});
        m_context.front.post(end_loop {});
        m_loop.stop();
    }

    //! Sends the events of a block to a writer.
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

int runJobDaemon(const job_daemon_settings& settings, const deployment& format)
{
    google::InitGoogleLogging("camphorsaddle");
    signal(SIGPIPE, SIG_IGN);
    utils::log_writer log(STDOUT_FILENO);
    const log_scope scope(log);
    job_daemon process(settings, format);
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
