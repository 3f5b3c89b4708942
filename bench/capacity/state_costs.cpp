#include <malloc.h>
#include <time.h>

#include "absl/strings/str_cat.h"
#include "bench/capacity/cost_measurement.h"
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

    //! Returns the entries of accepting, placing, confirming and, optionally, ending \a tasks tasks, job by job.
    std::vector<batch_entry> makeEntries(std::size_t tasks, bool includesEnds)
    {
        std::vector<batch_entry> entries;
        for (std::size_t job = 0; job * tasksPerJob < tasks; ++job) {
            const auto name = jobName(job);
            entries.push_back(placement::job_accepted { name, absl::StrCat("team-", job % 160), "trade_match", tasksPerJob });
            for (std::uint32_t task = 0; task < tasksPerJob; ++task) {
                entries.push_back(placement::task_placed { { name, task }, 1, absl::StrCat("dub-1-w", (job * tasksPerJob + task) % 890), { 4000, 16384, 0 } });
                entries.push_back(placement::task_confirmed { { name, task }, 1 });
                if (includesEnds)
                    entries.push_back(placement::task_ended { { name, task }, 1, placement::attempt_end_cause::Finished, "" });
            }
        }
        return entries;
    }

    double allocatedHeapBytes()
    {
        const auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd);
    }

    std::string encodeHeartbeat()
    {
        protocol::PeerEnvelope envelope;
        envelope.set_sender("dub-1-1");
        envelope.set_incarnation(1796000000000000);
        envelope.mutable_heartbeat()->set_configuration_revision(5000);
        return envelope.SerializeAsString();
    }

    settings::configuration_record makeConfigurationRecord(int teams)
    {
        std::string list;
        for (int team = 0; team < teams; ++team)
            absl::StrAppend(&list, team == 0 ? "" : ",", "\"team-", team, R"(":{"quota":{"processors_milli":900000,"memory_mib":3600000},"rights":["submit","cancel","observe"]})");
        const std::string size = R"("size":{"processors_milli":2000,"memory_mib":4096})";
        settings::configuration_edit edit { "base", absl::StrCat(R"({"services":{"affirmation":{)", size, R"(}},"batch_kinds":{"trade_match":{)", size, R"(}},"teams":{)", list, "}}"), 0, "operator", "change-1" };
        return settings::applyEdit({}, edit, utils::wall_time_point {}).record;
    }

} // namespace

double threadProcessorMicroseconds()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

std::vector<cost_measurement> measureJournalCosts()
{
    std::vector<cost_measurement> measurements;
    for (const std::size_t tasks : { 2000U, 8000U, 32000U }) {
        const auto entries = makeEntries(tasks, true);
        const double entryCount = static_cast<double>(entries.size());
        double byteCount = 0;
        std::vector<std::string> encoded;
        encoded.reserve(entries.size());
        auto startMicroseconds = threadProcessorMicroseconds();
        for (const auto& change : entries)
            encoded.push_back(tasks::encodeEntry(change));
        measurements.push_back({ "entry encode", "us/entry", "entries", entryCount, (threadProcessorMicroseconds() - startMicroseconds) / entryCount });
        for (const auto& encodedEntry : encoded)
            byteCount += static_cast<double>(encodedEntry.size());
        measurements.push_back({ "entry size", "B/entry", "entries", entryCount, byteCount / entryCount });
        startMicroseconds = threadProcessorMicroseconds();
        std::vector<batch_entry> decoded;
        decoded.reserve(entries.size());
        for (const auto& encodedEntry : encoded)
            decoded.push_back(*tasks::decodeEntry(encodedEntry));
        measurements.push_back({ "entry decode", "us/entry", "entries", entryCount, (threadProcessorMicroseconds() - startMicroseconds) / entryCount });
        placement::shard_state state;
        startMicroseconds = threadProcessorMicroseconds();
        for (const auto& change : decoded)
            static_cast<void>(state.apply(change));
        measurements.push_back({ "entry apply", "us/entry", "entries", entryCount, (threadProcessorMicroseconds() - startMicroseconds) / entryCount });

        protocol::JournalRecord record;
        record.set_journal("batch/dub-1/0");
        record.set_writer("dub-1-1-1796000000000000");
        const auto emptyRecordSize = journal::encodeEnvelope(record).size();
        for (std::size_t index = 0; index < 100; ++index)
            record.add_entries(encoded[index]);
        double entryBytes = 0;
        for (std::size_t index = 0; index < 100; ++index)
            entryBytes += static_cast<double>(encoded[index].size());
        measurements.push_back({ "slot frame", "B/slot", "entries", entryCount, static_cast<double>(emptyRecordSize) });
        measurements.push_back({ "slot overhead", "B/entry", "entries", entryCount, (static_cast<double>(journal::encodeEnvelope(record).size() - emptyRecordSize) - entryBytes) / 100 });
    }
    return measurements;
}

std::vector<cost_measurement> measureTaskRecordCosts()
{
    std::vector<cost_measurement> measurements;
    for (const std::size_t tasks : { 2000U, 8000U, 32000U }) {
        const double entryCount = static_cast<double>(tasks);
        const auto entries = makeEntries(tasks, false);
        const double bytesBefore = allocatedHeapBytes();
        placement::shard_state state;
        for (const auto& change : entries)
            static_cast<void>(state.apply(change));
        measurements.push_back({ "task record in memory", "B/task", "running tasks", entryCount, (allocatedHeapBytes() - bytesBefore) / entryCount });
        auto startMicroseconds = threadProcessorMicroseconds();
        const auto encodedSnapshot = tasks::encodeSnapshot(state);
        measurements.push_back({ "snapshot encode", "us/task", "running tasks", entryCount, (threadProcessorMicroseconds() - startMicroseconds) / entryCount });
        measurements.push_back({ "snapshot size", "B/task", "running tasks", entryCount, static_cast<double>(encodedSnapshot.size()) / entryCount });
        startMicroseconds = threadProcessorMicroseconds();
        static_cast<void>(tasks::decodeSnapshot(encodedSnapshot));
        measurements.push_back({ "snapshot decode", "us/task", "running tasks", entryCount, (threadProcessorMicroseconds() - startMicroseconds) / entryCount });
    }
    return measurements;
}

std::vector<cost_measurement> measureConfigurationCosts()
{
    std::vector<cost_measurement> measurements;
    for (const int teams : { 40, 80, 160 }) {
        const auto record = makeConfigurationRecord(teams);
        const auto encodedRecord = settings::formatRecord(record);
        measurements.push_back({ "configuration record", "B", "teams", static_cast<double>(teams), static_cast<double>(encodedRecord.size()) });
        constexpr int iterations = 50;
        const auto startMicroseconds = threadProcessorMicroseconds();
        for (int iteration = 0; iteration < iterations; ++iteration)
            static_cast<void>(settings::configurationForDataCentre(*settings::parseRecord(encodedRecord, "bench"), "dub-1"));
        measurements.push_back({ "configuration parse and merge", "us", "teams", static_cast<double>(teams), (threadProcessorMicroseconds() - startMicroseconds) / iterations });
    }
    return measurements;
}

std::vector<cost_measurement> measureHeartbeatCosts()
{
    std::vector<cost_measurement> measurements;
    for (const int peers : { 6, 27, 111 }) {
        constexpr int iterations = 1000;
        const auto startMicroseconds = threadProcessorMicroseconds();
        std::size_t byteCount = 0;
        for (int iteration = 0; iteration < iterations * peers; ++iteration) {
            protocol::PeerEnvelope envelope;
            const auto encodedHeartbeat = encodeHeartbeat();
            static_cast<void>(envelope.ParseFromString(encodedHeartbeat));
            byteCount = encodedHeartbeat.size();
        }
        measurements.push_back({ "heartbeat encode and decode", "us/interval", "peers", static_cast<double>(peers), (threadProcessorMicroseconds() - startMicroseconds) / iterations });
        measurements.push_back({ "heartbeat", "B/interval", "peers", static_cast<double>(peers), static_cast<double>(byteCount) * peers });
    }
    return measurements;
}

} // namespace camphorsaddle::bench
