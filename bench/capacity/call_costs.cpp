#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "bench/capacity/cost_measurement.h"
#include "external/http_host_directory.h"
#include "external/http_worker_control.h"
#include "transport/http_server.h"

namespace camphorsaddle::bench {

namespace {

    using nlohmann::json;

    constexpr utils::milliseconds callTimeout { 5000 };
    constexpr int callCount = 200;

    std::string workerReportBody(int tasks)
    {
        json list = json::array();
        for (int task = 0; task < tasks; ++task)
            list.push_back({ { "task", absl::StrCat("team-", task, "/job-", task, "/0") }, { "attempt", 1 }, { "epoch", 3 }, { "state", "running" }, { "checkpoint", "progress:123456" },
                { "usage", { { "processors", 3500 }, { "memory", 12000 } } }, { "cause", "" } });
        return json { { "tasks", list }, { "services", json::array() }, { "measured_ms_ago", 5000 } }.dump();
    }

    std::string hostListBody(int hosts)
    {
        json list = json::array();
        for (int host = 0; host < hosts; ++host)
            list.push_back({ { "id", absl::StrCat("dub-1-w", host) }, { "role", "worker" }, { "state", "live" }, { "url", absl::StrCat("http://10.0.0.1:", host) }, { "data_centre", "dub-1" },
                { "rack", "dub-1-r0" }, { "service", "" }, { "slots", 0 }, { "connections", 0 }, { "processors", 64000 }, { "memory", 256000 }, { "accelerators", 1 } });
        return json { { "hosts", list } }.dump();
    }

    //! HTTP server on a separate thread that answers every call with the same body.
    class fixed_response_server {
    public:
        explicit fixed_response_server(std::string body)
            : m_server(*transport::http_server::listen(m_loop, {}, [body = std::move(body)](const auto&, const transport::http_responder& responder) {
                responder.respond(transport::jsonResponse(200, body));
            }))
            , m_thread([this] { m_loop.run(); })
        {
        }

        ~fixed_response_server()
        {
            m_loop.stop();
            m_thread.join();
        }

        fixed_response_server(const fixed_response_server&) = delete;
        fixed_response_server& operator=(const fixed_response_server&) = delete;

        std::string url() const
        {
            return absl::StrCat("http://127.0.0.1:", m_server->port());
        }

    private:
        transport::event_loop m_loop;
        std::unique_ptr<transport::http_server> m_server;
        std::thread m_thread;
    };

    //! Returns the processor time that one call takes on the caller's thread, in microseconds, as a mean of callCount calls.
    template <typename Call>
    double measureCall(transport::event_loop& loop, const Call& call)
    {
        const auto startMicroseconds = threadProcessorMicroseconds();
        for (int i = 0; i < callCount; ++i) {
            call();
            loop.run();
        }
        return (threadProcessorMicroseconds() - startMicroseconds) / callCount;
    }

} // namespace

std::vector<cost_measurement> measureWorkerCallCosts()
{
    std::vector<cost_measurement> measurements;
    for (const int tasks : { 0, 32, 128 }) {
        const auto body = workerReportBody(tasks);
        const fixed_response_server server(body);
        transport::event_loop loop;
        const auto client = transport::http_client::create(loop);
        external::http_worker_control workers(*client, callTimeout);
        model::host worker;
        worker.url = server.url();
        const double callMicroseconds = measureCall(loop, [&] { workers.renew(worker, { "batch/dub-1/0", 1, utils::milliseconds(20000), {} }, [&](const auto&) { loop.stop(); }); });
        measurements.push_back({ "worker renewal", "us/call", "tasks of the worker", static_cast<double>(tasks), callMicroseconds });
        measurements.push_back({ "worker report body", "B/call", "tasks of the worker", static_cast<double>(tasks), static_cast<double>(body.size()) });
    }
    for (const int hosts : { 100, 400, 1600 }) {
        const auto body = hostListBody(hosts);
        const fixed_response_server server(body);
        transport::event_loop loop;
        const auto client = transport::http_client::create(loop);
        external::http_host_directory directory(*client, server.url(), callTimeout);
        const double callMicroseconds = measureCall(loop, [&] { directory.hosts([&](const auto&) { loop.stop(); }); });
        measurements.push_back({ "host list poll", "us/poll", "hosts", static_cast<double>(hosts), callMicroseconds });
        measurements.push_back({ "host list body", "B/poll", "hosts", static_cast<double>(hosts), static_cast<double>(body.size()) });
    }
    return measurements;
}

} // namespace camphorsaddle::bench
