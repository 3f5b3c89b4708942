#pragma once

#include <initializer_list>
#include <span>
#include <string>

#include "absl/strings/string_view.h"

namespace camphorsaddle::utils {

enum class event_severity {
    Info,
    Warning,
    Error,
};

//! \brief A kind of log line. Numbers are never reused; docs/EVENTS.md lists them.
struct event {
    int number;
    event_severity severity;
    absl::string_view name;
    absl::string_view meaning;
};

struct event_field {
    absl::string_view key;
    std::string value;
};

//! \brief All events, ordered by number.
std::span<const event> eventCatalogue();

//! \brief Formats one line "event=N name=... key=value ..."; values with spaces are quoted.
std::string formatEvent(const event& kind, std::initializer_list<event_field> fields);

class log_writer;

//! \brief Sends the lines of events to a writer instead of glog; null ends that. Called while one thread runs.
void setLogWriter(log_writer* writer);

//! \brief Writes the event through the log writer, or through glog where there is none.
void logEvent(const event& kind, std::initializer_list<event_field> fields = {});

namespace events {

    // 100-199: process
    inline constexpr event processStarted { 100, event_severity::Info, "process_started", "The daemon has parsed its settings and starts its tasks." };
    inline constexpr event processStopping { 101, event_severity::Info, "process_stopping", "A stop signal arrived; the daemon drains." };
    inline constexpr event processStopped { 102, event_severity::Info, "process_stopped", "Every task has ended." };
    inline constexpr event listening { 103, event_severity::Info, "listening", "A task accepts connections at the address." };
    inline constexpr event processReloaded { 104, event_severity::Info, "process_reloaded", "The settings file was announced as changed." };
    inline constexpr event undeclaredTransition { 110, event_severity::Error, "undeclared_transition", "A state chart has no transition for the event in the current state." };
    inline constexpr event logDropped { 120, event_severity::Warning, "log_dropped", "Lines are missing here because nobody read the log in time." };

    // 200-299: gateway
    inline constexpr event requestRefused { 200, event_severity::Info, "request_refused", "A request was answered not-run." };
    inline constexpr event requestUnknown { 201, event_severity::Warning, "request_unknown", "A request may have run and has no answer." };
    inline constexpr event minionsChanged { 202, event_severity::Info, "minions_changed", "The list of usable minions changed." };

    // 300-399: scheduler
    inline constexpr event shardTaken { 300, event_severity::Info, "shard_taken", "This daemon owns the shard from the epoch on." };
    inline constexpr event shardReleased { 301, event_severity::Info, "shard_released", "This daemon no longer owns the shard." };
    inline constexpr event taskStarted { 302, event_severity::Info, "task_started", "A worker confirmed the start of an attempt." };
    inline constexpr event taskEnded { 303, event_severity::Info, "task_ended", "A worker reported the end of an attempt." };
    inline constexpr event taskReturned { 304, event_severity::Warning, "task_returned", "An attempt ended without a result; the task is pending again." };
    inline constexpr event jobRefused { 305, event_severity::Info, "job_refused", "A job was refused at submission." };

    // 400-499: configurator
    inline constexpr event configurationApplied { 400, event_severity::Info, "configuration_applied", "A greater revision is in force." };
    inline constexpr event configurationRejected { 401, event_severity::Error, "configuration_rejected", "A stored configuration failed the check and was not applied." };
    inline constexpr event configurationSubmitted { 402, event_severity::Info, "configuration_submitted", "An operator's change was written." };
    inline constexpr event configurationWatchSilent { 403, event_severity::Warning, "configuration_watch_silent", "The store's watch did not report a revision that reads have shown; changes arrive by reads and peers." };

    // 500-599: membership
    inline constexpr event memberJoined { 500, event_severity::Info, "member_joined", "A daemon's member key appeared." };
    inline constexpr event memberLeft { 501, event_severity::Warning, "member_left", "A daemon's member key is gone." };
    inline constexpr event memberLeaseLost { 502, event_severity::Error, "member_lease_lost", "This daemon's own lease ended; it owns nothing until it has a new one." };

    // 600-699: administration
    inline constexpr event administrationRefused { 600, event_severity::Info, "administration_refused", "An administration call was refused." };
    inline constexpr event administrationChange { 601, event_severity::Info, "administration_change", "A call that may change something was let through." };
    inline constexpr event accessOpen { 602, event_severity::Warning, "access_open", "No token is configured: anyone who reaches the port may do anything." };

    // 700-799: store and journal
    inline constexpr event storeUnavailable { 700, event_severity::Warning, "store_unavailable", "Calls to the store fail; nothing that needs an entry begins." };
    inline constexpr event storeAvailable { 701, event_severity::Info, "store_available", "Calls to the store succeed again." };
    inline constexpr event journalDeposed { 702, event_severity::Warning, "journal_deposed", "Another writer holds a later epoch of the journal." };
    inline constexpr event journalCorrupt { 703, event_severity::Error, "journal_corrupt", "A journal record failed its check and was not applied." };

    // 800-899: jobs
    inline constexpr event leadTaken { 800, event_severity::Info, "lead_taken", "This daemon leads from the term on." };
    inline constexpr event leadLost { 801, event_severity::Warning, "lead_lost", "This daemon no longer leads." };
    inline constexpr event leaderSeen { 802, event_severity::Info, "leader_seen", "The store names a leader." };
    inline constexpr event leaderGone { 803, event_severity::Warning, "leader_gone", "The leader's key is gone from the store." };
    inline constexpr event candidacyLost { 804, event_severity::Info, "candidacy_lost", "Another daemon became leader." };
    inline constexpr event leaseNotRenewed { 805, event_severity::Warning, "lease_not_renewed", "The leader's lease could not be renewed in time." };
    inline constexpr event leaseNotEnded { 806, event_severity::Warning, "lease_not_ended", "A lease could not be ended; it ends by itself." };
    inline constexpr event termLoaded { 807, event_severity::Info, "term_loaded", "The new leader has read all jobs." };
    inline constexpr event leaderSilent { 808, event_severity::Warning, "leader_silent", "The leader did not answer a call in time; the store is asked." };
    inline constexpr event jobCourse { 810, event_severity::Info, "job_course", "The engine decided or learned something about a run, a worker or a job." };
    inline constexpr event jobSettled { 811, event_severity::Info, "job_settled", "A submission was stored, refused or left open." };
    inline constexpr event jobCancelled { 812, event_severity::Info, "job_cancelled", "A cancellation was decided." };
    inline constexpr event jobAdopted { 813, event_severity::Info, "job_adopted", "The leader took up a job or cancellation that was stored without it." };
    inline constexpr event jobNotErased { 814, event_severity::Warning, "job_not_erased", "A key of a forgotten job stays in the store." };
    inline constexpr event callAnswered { 815, event_severity::Info, "call_answered", "A caller's request about a job was answered." };
    inline constexpr event workerAnnounced { 820, event_severity::Info, "worker_announced", "The directory has a new or changed entry of a worker." };
    inline constexpr event workerWithdrawn { 821, event_severity::Info, "worker_withdrawn", "A worker's entry is gone from the directory." };
    inline constexpr event workerEntryRejected { 822, event_severity::Warning, "worker_entry_rejected", "An entry of the directory names no worker." };
    inline constexpr event watchInterrupted { 830, event_severity::Warning, "watch_interrupted", "A watch of the store ended without an answer; the prefix is listed again." };
    inline constexpr event storedValueUnreadable { 831, event_severity::Error, "stored_value_unreadable", "A value in the store is no record that this program wrote." };
    inline constexpr event peerMessageDropped { 832, event_severity::Warning, "peer_message_dropped", "A message between daemons was not sent or not understood." };
    inline constexpr event peerAnswerUnreadable { 833, event_severity::Warning, "peer_answer_unreadable", "An answer of an outside system was not understood." };
    inline constexpr event carrierFound { 840, event_severity::Info, "carrier_found", "A daemon carries orders of the leader to workers." };
    inline constexpr event carrierLost { 841, event_severity::Warning, "carrier_lost", "A carrier fell silent; its orders count as unanswered." };

} // namespace events

} // namespace camphorsaddle::utils
