// The scenarios of the third review. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include "world.h"

using namespace standins;

namespace {

    world* s_world = nullptr;

    world& makeWorld(const std::string& folder, const world_settings& settings)
    {
        s_world = new world(folder, settings);
        return *s_world;
    }

    //! A job of lasting tasks like those of recon-watch.
    std::string lastingJob(int count)
    {
        return json { { "Spec", "reconciliation" }, { "Steps", json::array({ { { "Count", count }, { "Cpu", 13000 }, { "MemMb", 26000 }, { "EstimateMs", 320 }, { "LongRunning", true } } }) } }.dump();
    }

    // The daemon that a client sends a job to freezes. The client gets no answer, and cancels the job at another daemon.
    int cancelInDoubt(const std::string& folder)
    {
        auto& deployment = makeWorld(folder, {});
        if (!deployment.start())
            return 2;
        sleepMs(2000);
        const auto leader = deployment.leader();
        if (leader == SIZE_MAX)
            return 2;
        const auto frozen = (leader + 1) % 3;
        const auto other = (leader + 2) % 3;
        const std::string id = "5c0e7a21d94b36f8";
        const std::string path = std::string(world::prefix) + id;
        deployment.runs.addJob(id, { { 6, 13000, 26000, 0, true } });
        if (isTroubled())
            deployment.signalDaemon(frozen, SIGSTOP, "freezes");
        sleepMs(200);
        std::thread thaw([&] {
            sleepMs(3700);
            if (isTroubled())
                deployment.signalDaemon(frozen, SIGCONT, "wakes");
        });
        deployment.call(frozen, "POST", path, lastingJob(6), world::deadlineMs);
        const auto answer = deployment.call(other, "DELETE", path);
        const auto acknowledgedAt = nowMs();
        thaw.join();
        if (answer.status != 410 && answer.status / 100 != 2)
            return 2;
        // Without disruption for ContactMs, and then for a stretch of cancel_ms + StopMs.
        sleepMs(world::contactMs + world::cancelMs + world::stopMs + 2000);
        const auto judgedAt = nowMs();
        deployment.call(other, "GET", path);
        int broken = 0;
        for (const auto& run : deployment.runs.starts()) {
            if (run.endedAt == 0) {
                deployment.record.write("run " + run.task + "/" + std::to_string(run.run) + " started " + std::to_string(run.at - acknowledgedAt) + " ms after the cancelling was acknowledged, and still works " + std::to_string(judgedAt - acknowledgedAt) + " ms after it");
                broken = 1;
            }
        }
        return broken;
    }

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    const std::map<std::string, int (*)(const std::string&)> cases {
        { "cancel-in-doubt", &cancelInDoubt },
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end())
        return 2;
    const int result = found->second(argv[2]);
    if (s_world != nullptr)
        s_world->end();
    // Threads of the servers still run.
    std::fflush(nullptr);
    _exit(result);
}
