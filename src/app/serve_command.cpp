#include <signal.h>

#include <ctime>
#include <set>

#include "absl/strings/str_cat.h"
#include "app/command_line.h"
#include "app/files.h"
#include "glog/logging.h"
#include "settings/process_settings.h"
#include "tasks/administration/administration_task.h"
#include "tasks/configurator/configurator_task.h"
#include "tasks/gateway/gateway_task.h"
#include "tasks/keys/keys_task.h"
#include "tasks/membership/membership_task.h"
#include "tasks/scheduler/scheduler_task.h"
#include "utils/events.h"

namespace camphorsaddle::app {

namespace {

    //! The tasks of a daemon and its reaction to stop signals.
    class daemon {
    public:
        explicit daemon(settings::process_settings settings);
        ~daemon();
        daemon(const daemon&) = delete;
        daemon& operator=(const daemon&) = delete;

        absl::Status open();
        void run();

    private:
        static void onSignal(struct ev_loop* loop, ev_signal* watcher, int events);
        void beginDrain();
        void onDrained(const std::string& task);

        template <typename Message>
        void postToAll(const Message& message);

        tasks::daemon_context m_context;
        transport::event_loop m_loop;
        tasks::gateway_task m_gateway;
        tasks::scheduler_task m_scheduler;
        tasks::configurator_task m_configurator;
        tasks::membership_task m_membership;
        tasks::administration_task m_administration;
        tasks::keys_task m_keys;
        std::vector<tasks::task*> m_tasks { &m_gateway, &m_scheduler, &m_configurator, &m_membership, &m_administration, &m_keys };
        std::set<std::string> m_draining { "gateway", "scheduler", "configurator", "membership", "administration", "keys" };
        ev_signal m_terminate {};
        ev_signal m_interrupt {};
        bool m_isDraining = false;
    };

    tasks::daemon_context makeContext(settings::process_settings settings)
    {
        return { std::move(settings), static_cast<std::uint64_t>(std::chrono::duration_cast<utils::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count()), {}, {} };
    }

    daemon::daemon(settings::process_settings settings)
        : m_context(makeContext(std::move(settings)))
        , m_gateway(m_context)
        , m_scheduler(m_context)
        , m_configurator(m_context)
        , m_membership(m_context)
        , m_administration(m_context)
        , m_keys(m_context)
    {
        ev_signal_init(&m_terminate, &daemon::onSignal, SIGTERM);
        ev_signal_init(&m_interrupt, &daemon::onSignal, SIGINT);
        m_terminate.data = this;
        m_interrupt.data = this;
    }

    daemon::~daemon()
    {
        // The mailboxes outlive the loop on which this one is read.
        m_context.mailboxes.application.close();
        ev_signal_stop(m_loop.nativeLoop(), &m_terminate);
        ev_signal_stop(m_loop.nativeLoop(), &m_interrupt);
        // The mailboxes watch loops that end before the context does.
        m_context.mailboxes.closeAll();
    }

    absl::Status daemon::open()
    {
        m_context.mailboxes.application.open(m_loop, [this](const tasks::application_message& message) {
            onDrained(std::get<tasks::task_drained>(message).task);
        });
        for (auto* task : m_tasks) {
            if (auto status = task->open(); !status.ok())
                return status;
        }
        return absl::OkStatus();
    }

    void daemon::run()
    {
        ev_signal_start(m_loop.nativeLoop(), &m_terminate);
        ev_signal_start(m_loop.nativeLoop(), &m_interrupt);
        for (auto* task : m_tasks)
            task->start();
        m_loop.run();
        for (auto* task : m_tasks)
            task->join();
    }

    void daemon::onSignal(struct ev_loop*, ev_signal* watcher, int)
    {
        static_cast<daemon*>(watcher->data)->beginDrain();
    }

    void daemon::beginDrain()
    {
        if (m_isDraining)
            return;
        m_isDraining = true;
        utils::logEvent(utils::events::processStopping, { { "daemon", m_context.settings.daemonId } });
        // The daemon stays a member, with its slots and shards, until the balancer has turned away and no request is in flight.
        m_context.mailboxes.gateway.post(tasks::drain {});
        m_context.mailboxes.administration.post(tasks::drain {});
    }

    void daemon::onDrained(const std::string& task)
    {
        m_draining.erase(task);
        if (task == "gateway") {
            m_context.mailboxes.scheduler.post(tasks::drain {});
            m_context.mailboxes.configurator.post(tasks::drain {});
            m_context.mailboxes.membership.post(tasks::drain {});
            m_context.mailboxes.keys.post(tasks::drain {});
        }
        if (!m_draining.empty())
            return;
        postToAll(tasks::stop_task {});
        m_loop.stop();
    }

    template <typename Message>
    void daemon::postToAll(const Message& message)
    {
        m_context.mailboxes.postToAll(message);
    }

    void startLog(const settings::log_settings& log)
    {
        FLAGS_logtostderr = log.folder.empty();
        FLAGS_log_dir = log.folder;
        FLAGS_minloglevel = log.level;
        google::InitGoogleLogging("camphorsaddle");
    }

    int serve(const std::string& path)
    {
        const auto text = readFile(path);
        if (!text.ok()) {
            std::cerr << utils::describe(text.status()) << "\n";
            return WrongUsage;
        }
        const auto parsed = settings::readProcessSettings(*text, path);
        for (const auto& error : parsed.errors)
            std::cerr << settings::describe(error) << "\n";
        if (!parsed.errors.empty())
            return WrongUsage;

        startLog(parsed.value.log);
        signal(SIGPIPE, SIG_IGN);
        daemon process(parsed.value);
        if (const auto status = process.open(); !status.ok()) {
            std::cerr << utils::describe(status) << "\n";
            return RefusedOrFailed;
        }
        utils::logEvent(utils::events::processStarted, { { "daemon", parsed.value.daemonId }, { "data_centre", parsed.value.dataCentre } });
        process.run();
        utils::logEvent(utils::events::processStopped, { { "daemon", parsed.value.daemonId } });
        return Done;
    }

} // namespace

int runServe(arguments arguments)
{
    TCLAP::CmdLine line("Runs a daemon until SIGTERM or SIGINT.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settingsFile("", "settings", "process settings, see docs/CONFIGURATION.md", true, "", "FILE", line);
    return parseAndRun(line, arguments, [&] { return serve(settingsFile.getValue()); });
}

} // namespace camphorsaddle::app
