#include <malloc.h>
#include <time.h>

#include "absl/strings/str_cat.h"
#include "bench/capacity/slopes.h"
#include "journal/record.h"
#include "membership/member.h"
#include "placement/shard_state.h"
#include "protocol/journal.pb.h"
#include "protocol/peer.pb.h"
#include "settings/configuration_record.h"
#include "tasks/scheduler/batch_codec.h"

namespace camphorsaddle::bench {

namespace {

    using placement::batch_entry;

    constexpr std::uint32_t tasksPerJob = 4;

    std::string jobName(std::size_t number)
    {
        return absl::StrCat("team-", number % 160, "/job-", number);
    }

    //! Acceptance, start, confirmation and end of each task, in batches of a job.
    std::vector<batch_entry> entriesFor(std::size_t tasks, bool areEnded)
    {
        std::vector<batch_entry> entries;
        for (std::size_t job = 0; job * tasksPerJob < tasks; ++job) {
            const auto name = jobName(job);
            entries.push_back(placement::job_accepted { name, absl::StrCat("team-", job % 160), "trade_match", tasksPerJob });
            for (std::uint32_t task = 0; task < tasksPerJob; ++task) {
                entries.push_back(placement::task_placed { { name, task }, 1, absl::StrCat("dub-1-w", (job * tasksPerJob + task) % 890), { 4000, 16384, 0 } });
                entries.push_back(placement::task_confirmed { { name, task }, 1 });
                if (areEnded)
                    entries.push_back(placement::task_ended { { name, task }, 1, placement::attempt_end_cause::Finished, "" });
            }
        }
        return entries;
    }

    double heapBytes()
    {
        const auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd);
    }

    std::string heartbeatBytes()
    {
        protocol::PeerEnvelope envelope;
        envelope.set_sender("dub-1-1");
        envelope.set_incarnation(1796000000000000);
        envelope.mutable_heartbeat()->set_configuration_revision(5000);
        return envelope.SerializeAsString();
    }

    settings::configuration_record recordFor(int teams)
    {
        std::string list;
        for (int team = 0; team < teams; ++team)
            absl::StrAppend(&list, team == 0 ? "" : ",", "\"team-", team, R"(":{"quota":{"processors_milli":900000,"memory_mib":3600000},"rights":["submit","cancel","observe"]})");
        const std::string size = R"("size":{"processors_milli":2000,"memory_mib":4096})";
        settings::configuration_edit edit { "base", absl::StrCat(R"({"services":{"affirmation":{)", size, R"(}},"batch_kinds":{"trade_match":{)", size, R"(}},"teams":{)", list, "}}"), 0, "operator", "change-1" };
        return settings::applyEdit({}, edit, utils::wall_time_point {}).record;
    }

} // namespace

double threadMicroseconds()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

std::vector<slope_point> measureJournal()
{
    std::vector<slope_point> points;
    for (const std::size_t tasks : { 2000U, 8000U, 32000U }) {
        const auto entries = entriesFor(tasks, true);
        const double count = static_cast<double>(entries.size());
        double bytes = 0;
        std::vector<std::string> encoded;
        encoded.reserve(entries.size());
        auto begin = threadMicroseconds();
        for (const auto& change : entries)
            encoded.push_back(tasks::encodeEntry(change));
        points.push_back({ "entry encode", "us/entry", "entries", count, (threadMicroseconds() - begin) / count });
        for (const auto& text : encoded)
            bytes += static_cast<double>(text.size());
        points.push_back({ "entry size", "B/entry", "entries", count, bytes / count });
        begin = threadMicroseconds();
        std::vector<batch_entry> decoded;
        decoded.reserve(entries.size());
        for (const auto& text : encoded)
            decoded.push_back(*tasks::decodeEntry(text));
        points.push_back({ "entry decode", "us/entry", "entries", count, (threadMicroseconds() - begin) / count });
        placement::shard_state state;
        begin = threadMicroseconds();
        for (const auto& change : decoded)
            static_cast<void>(state.apply(change));
        points.push_back({ "entry apply", "us/entry", "entries", count, (threadMicroseconds() - begin) / count });

        protocol::JournalRecord record;
        record.set_journal("batch/dub-1/0");
        record.set_writer("dub-1-1-1796000000000000");
        const auto empty = journal::encodeEnvelope(record).size();
        for (std::size_t index = 0; index < 100; ++index)
            record.add_entries(encoded[index]);
        double payload = 0;
        for (std::size_t index = 0; index < 100; ++index)
            payload += static_cast<double>(encoded[index].size());
        points.push_back({ "slot frame", "B/slot", "entries", count, static_cast<double>(empty) });
        points.push_back({ "slot overhead", "B/entry", "entries", count, (static_cast<double>(journal::encodeEnvelope(record).size() - empty) - payload) / 100 });
    }
    return points;
}

std::vector<slope_point> measureRecords()
{
    std::vector<slope_point> points;
    for (const std::size_t tasks : { 2000U, 8000U, 32000U }) {
        const double count = static_cast<double>(tasks);
        const auto entries = entriesFor(tasks, false);
        const double before = heapBytes();
        placement::shard_state state;
        for (const auto& change : entries)
            static_cast<void>(state.apply(change));
        points.push_back({ "task record in memory", "B/task", "running tasks", count, (heapBytes() - before) / count });
        auto begin = threadMicroseconds();
        const auto snapshot = tasks::encodeSnapshot(state);
        points.push_back({ "snapshot encode", "us/task", "running tasks", count, (threadMicroseconds() - begin) / count });
        points.push_back({ "snapshot size", "B/task", "running tasks", count, static_cast<double>(snapshot.size()) / count });
        begin = threadMicroseconds();
        static_cast<void>(tasks::decodeSnapshot(snapshot));
        points.push_back({ "snapshot decode", "us/task", "running tasks", count, (threadMicroseconds() - begin) / count });
    }
    return points;
}

std::vector<slope_point> measureConfiguration()
{
    std::vector<slope_point> points;
    for (const int teams : { 40, 80, 160 }) {
        const auto record = recordFor(teams);
        const auto text = settings::formatRecord(record);
        points.push_back({ "configuration record", "B", "teams", static_cast<double>(teams), static_cast<double>(text.size()) });
        constexpr int rounds = 50;
        const auto begin = threadMicroseconds();
        for (int round = 0; round < rounds; ++round)
            static_cast<void>(settings::configurationAt(*settings::parseRecord(text, "bench"), "dub-1"));
        points.push_back({ "configuration parse and merge", "us", "teams", static_cast<double>(teams), (threadMicroseconds() - begin) / rounds });
    }
    return points;
}

std::vector<slope_point> measureHeartbeats()
{
    std::vector<slope_point> points;
    for (const int peers : { 6, 27, 111 }) {
        constexpr int rounds = 1000;
        const auto begin = threadMicroseconds();
        std::size_t bytes = 0;
        for (int round = 0; round < rounds * peers; ++round) {
            protocol::PeerEnvelope envelope;
            const auto text = heartbeatBytes();
            static_cast<void>(envelope.ParseFromString(text));
            bytes = text.size();
        }
        points.push_back({ "heartbeat encode and decode", "us/interval", "peers", static_cast<double>(peers), (threadMicroseconds() - begin) / rounds });
        points.push_back({ "heartbeat", "B/interval", "peers", static_cast<double>(peers), static_cast<double>(bytes) * peers });
    }
    return points;
}

} // namespace camphorsaddle::bench
