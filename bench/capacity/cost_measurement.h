#pragma once

#include <string>
#include <vector>

namespace camphorsaddle::bench {

//! \brief One measurement of a cost that grows with a size.
struct cost_measurement {
    std::string cost;
    std::string unit;
    //! What the size counts, for instance "hosts".
    std::string sizeUnit;
    double size = 0;
    double value = 0;
};

//! \brief Processor time and bytes of encoding, decoding and applying journal entries.
std::vector<cost_measurement> measureJournalCosts();
//! \brief Memory of task records, and processor time and bytes of their snapshots.
std::vector<cost_measurement> measureTaskRecordCosts();
//! \brief Processor time and bytes of worker renewals and host list polls.
std::vector<cost_measurement> measureWorkerCallCosts();
//! \brief Bytes of a configuration record, and processor time of parsing and merging it.
std::vector<cost_measurement> measureConfigurationCosts();
//! \brief Processor time and bytes of the heartbeats to all peers in one interval.
std::vector<cost_measurement> measureHeartbeatCosts();
//! \brief Processor time that a leader's engine, codecs and log lines take for each second of a large deployment's load.
std::vector<cost_measurement> measureLeaderCosts();
//! \brief Processor time of a leader's channel to its relays, whose sockets are left out.
std::vector<cost_measurement> measureRelayCosts();
//! \brief Processor time and memory of real daemons under load; empty if they do not become ready.
std::vector<cost_measurement> measureDaemonCosts();

//! \brief Returns the processor time that the calling thread has used, in microseconds.
double threadProcessorMicroseconds();

} // namespace camphorsaddle::bench
