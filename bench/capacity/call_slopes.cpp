#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "bench/capacity/slopes.h"
#include "external/http_host_directory.h"
#include "external/http_worker_control.h"
#include "transport/http_server.h"

namespace camphorsaddle::bench {

namespace {

    using nlohmann::json;

    constexpr utils::milliseconds callTimeout { 5000 };
    constexpr int rounds = 200;

    std::string reportText(int tasks)
    {
        json list = json::array();
        for (int task = 0; task < tasks; ++task)
            list.push_back({ { "task", absl::StrCat("team-", task, "/job-", task, "/0") }, { "attempt", 1 }, { "epoch", 3 }, { "state", "running" }, { "checkpoint", "progress:123456" },
                { "usage", { { "processors", 3500 }, { "memory", 12000 } } }, { "cause", "" } });
        return json { { "tasks", list }, { "services", json::array() }, { "measured_ms_ago", 5000 } }.dump();
    }

    std::string hostsText(int hosts)
    {
        json list = json::array();
        for (int host = 0; host < hosts; ++host)
            list.push_back({ { "id", absl::StrCat("dub-1-w", host) }, { "role", "worker" }, { "state", "live" }, { "url", absl::StrCat("http://10.0.0.1:", host) }, { "data_centre", "dub-1" },
                { "rack", "dub-1-r0" }, { "service", "" }, { "slots", 0 }, { "connections", 0 }, { "processors", 64000 }, { "memory", 256000 }, { "accelerators", 1 } });
        return json { { "hosts", list } }.dump();
    }

    //! Serves one text to every call, from a thread of its own.
    class text_server {
    public:
        explicit text_server(std::string text)
            : m_server(*transport::http_server::listen(m_loop, {}, [text = std::move(text)](const auto&, const transport::http_responder& responder) {
                responder.respond(transport::jsonResponse(200, text));
            }))
            , m_thread([this] { m_loop.run(); })
        {
        }

        ~text_server()
        {
            m_loop.stop();
            m_thread.join();
        }

        text_server(const text_server&) = delete;
        text_server& operator=(const text_server&) = delete;

        std::string url() const
        {
            return absl::StrCat("http://127.0.0.1:", m_server->port());
        }

    private:
        transport::event_loop m_loop;
        std::unique_ptr<transport::http_server> m_server;
        std::thread m_thread;
    };

    //! Processor time of the calling side of one call, microseconds.
    template <typename Call>
    double costOf(transport::event_loop& loop, const Call& call)
    {
        const auto begin = threadMicroseconds();
        for (int round = 0; round < rounds; ++round) {
            call();
            loop.run();
        }
        return (threadMicroseconds() - begin) / rounds;
    }

} // namespace

std::vector<slope_point> measureWorkers()
{
    std::vector<slope_point> points;
    for (const int tasks : { 0, 32, 128 }) {
        const auto text = reportText(tasks);
        const text_server server(text);
        transport::event_loop loop;
        const auto client = transport::http_client::create(loop);
        external::http_worker_control workers(*client, callTimeout);
        model::host worker;
        worker.url = server.url();
        const double cost = costOf(loop, [&] { workers.renew(worker, { "batch/dub-1/0", 1, utils::milliseconds(20000), {} }, [&](const auto&) { loop.stop(); }); });
        points.push_back({ "worker renewal", "us/call", "tasks of the worker", static_cast<double>(tasks), cost });
        points.push_back({ "worker report body", "B/call", "tasks of the worker", static_cast<double>(tasks), static_cast<double>(text.size()) });
    }
    for (const int hosts : { 100, 400, 1600 }) {
        const auto text = hostsText(hosts);
        const text_server server(text);
        transport::event_loop loop;
        const auto client = transport::http_client::create(loop);
        external::http_host_directory directory(*client, server.url(), callTimeout);
        const double cost = costOf(loop, [&] { directory.hosts([&](const auto&) { loop.stop(); }); });
        points.push_back({ "host list poll", "us/poll", "hosts", static_cast<double>(hosts), cost });
        points.push_back({ "host list body", "B/poll", "hosts", static_cast<double>(hosts), static_cast<double>(text.size()) });
    }
    return points;
}

} // namespace camphorsaddle::bench
