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

//! \brief A kind of log event. Numbers are never reused; docs/EVENTS.md lists all events.
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

//! \brief All kinds of events, ordered by number.
std::span<const event> eventCatalogue();

//! \brief Formats a log line "event=N name=... key=value ..."; values with special characters are quoted.
std::string formatEvent(const event& kind, std::initializer_list<event_field> fields);

class log_writer;

//! \brief Sets the writer that receives the log lines instead of glog; null selects glog again.
//!
//! Must be called while the process has a single thread.
void setLogWriter(log_writer* writer);

//! \brief Logs an event to the log writer, or to glog when none is set.
void logEvent(const event& kind, std::initializer_list<event_field> fields = {});

namespace events {

    // 100-199: process
    inline constexpr event processStarted { 100, event_severity::Info, "process_started", "The daemon has parsed its settings and starts its tasks." };
    inline constexpr event processStopping { 101, event_severity::Info, "process_stopping", "The daemon received a stop signal and drains." };
    inline constexpr event processStopped { 102, event_severity::Info, "process_stopped", "Every task has ended." };
    inline constexpr event listening { 103, event_severity::Info, "listening", "A task accepts connections on the port." };
    inline constexpr event processReloaded { 104, event_severity::Info, "process_reloaded", "The daemon received the signal that announces a changed settings file." };
    inline constexpr event callersClosed { 105, event_severity::Warning, "callers_closed", "Requests were refused or connections closed since the last such line because callers are outside the limits, by reason; at most one line each 10 s." };
    inline constexpr event undeclaredTransition { 110, event_severity::Error, "undeclared_transition", "A state chart has no transition for the event in the current state." };
    inline constexpr event logDropped { 120, event_severity::Warning, "log_dropped", "Log lines were dropped here because the reader of the log was too slow." };
    inline constexpr event logLinesLeftOut { 121, event_severity::Info, "log_lines_left_out", "Lines of an event were left out to bound the volume of the log." };

    // 200-299: gateway
    inline constexpr event requestRefused { 200, event_severity::Info, "request_refused", "A request was refused and has not run." };
    inline constexpr event requestUnknown { 201, event_severity::Warning, "request_unknown", "A request has no response and may have run." };
    inline constexpr event minionsChanged { 202, event_severity::Info, "minions_changed", "The list of usable minions changed." };

    // 300-399: scheduler
    inline constexpr event shardTaken { 300, event_severity::Info, "shard_taken", "This daemon owns the shard, starting with the epoch." };
    inline constexpr event shardReleased { 301, event_severity::Info, "shard_released", "This daemon no longer owns the shard." };
    inline constexpr event taskStarted { 302, event_severity::Info, "task_started", "A worker confirmed the start of an attempt." };
    inline constexpr event taskEnded { 303, event_severity::Info, "task_ended", "A worker reported the end of an attempt." };
    inline constexpr event taskReturned { 304, event_severity::Warning, "task_returned", "An attempt ended without a result; the task is pending again." };
    inline constexpr event jobRefused { 305, event_severity::Info, "job_refused", "A job was refused at submission." };
    inline constexpr event evacuationRequested { 310, event_severity::Info, "evacuation_requested", "An operator's request to evacuate a data centre was written to the store." };
    inline constexpr event evacuationCancelled { 311, event_severity::Info, "evacuation_cancelled", "An operator's request to evacuate a data centre was removed from the store." };
    inline constexpr event evacuationKnown { 312, event_severity::Info, "evacuation_known", "This daemon starts no batch task in the data centre from now on." };
    inline constexpr event evacuationEnded { 313, event_severity::Info, "evacuation_ended", "This daemon starts batch tasks in the data centre again." };
    inline constexpr event evacuationDrained { 314, event_severity::Info, "evacuation_drained", "The last batch task of this daemon's shards has left the evacuated data centre." };
    inline constexpr event evacuationIgnored { 315, event_severity::Warning, "evacuation_ignored", "A key among the evacuation requests can't be the name of a data centre and is ignored." };
    inline constexpr event evacuationsUnknown { 316, event_severity::Warning, "evacuations_unknown", "The list of evacuations is missing or too old; this daemon starts no batch task." };
    inline constexpr event evacuationsConfirmed { 317, event_severity::Info, "evacuations_confirmed", "The list of evacuations is current again; this daemon may start batch tasks." };

    // 400-499: configurator
    inline constexpr event configurationApplied { 400, event_severity::Info, "configuration_applied", "A newer revision of the configuration was applied." };
    inline constexpr event configurationRejected { 401, event_severity::Error, "configuration_rejected", "A stored configuration failed validation and was not applied." };
    inline constexpr event configurationSubmitted { 402, event_severity::Info, "configuration_submitted", "An operator's change was written to the store." };
    inline constexpr event configurationWatchSilent { 403, event_severity::Warning, "configuration_watch_silent", "The watch of the store did not report a revision that was found by reading; changes arrive by reads and from peers." };

    // 500-599: membership
    inline constexpr event memberJoined { 500, event_severity::Info, "member_joined", "A daemon's member key was added to the store." };
    inline constexpr event memberLeft { 501, event_severity::Warning, "member_left", "A daemon's member key was removed from the store." };
    inline constexpr event memberLeaseLost { 502, event_severity::Error, "member_lease_lost", "The lease of this daemon has ended; it owns nothing until it has a new one." };

    // 600-699: administration
    inline constexpr event administrationRefused { 600, event_severity::Info, "administration_refused", "An administration call was refused." };
    inline constexpr event administrationChange { 601, event_severity::Info, "administration_change", "A call that may change something was allowed." };
    inline constexpr event accessOpen { 602, event_severity::Warning, "access_open", "No token is configured: anyone who can connect to the port may do anything." };

    // 700-799: store and journal
    inline constexpr event storeUnavailable { 700, event_severity::Warning, "store_unavailable", "Calls to the store fail; nothing that must be stored first is started." };
    inline constexpr event storeAvailable { 701, event_severity::Info, "store_available", "Calls to the store succeed again." };
    inline constexpr event journalDeposed { 702, event_severity::Warning, "journal_deposed", "Another writer owns the journal with a later epoch." };
    inline constexpr event journalCorrupt { 703, event_severity::Error, "journal_corrupt", "A journal record failed validation and was not applied." };

    // 800-899: jobs
    inline constexpr event leadTaken { 800, event_severity::Info, "lead_taken", "This daemon is the leader, starting with the term." };
    inline constexpr event leadLost { 801, event_severity::Warning, "lead_lost", "This daemon is no longer the leader." };
    inline constexpr event leaderSeen { 802, event_severity::Info, "leader_seen", "The store has an entry of a leader." };
    inline constexpr event leaderGone { 803, event_severity::Warning, "leader_gone", "The leader's key was removed from the store." };
    inline constexpr event candidacyLost { 804, event_severity::Info, "candidacy_lost", "Another daemon was elected leader." };
    inline constexpr event leaseNotRenewed { 805, event_severity::Warning, "lease_not_renewed", "The leader's lease could not be renewed in time." };
    inline constexpr event leaseNotEnded { 806, event_severity::Warning, "lease_not_ended", "A lease could not be revoked; it will expire." };
    inline constexpr event termLoaded { 807, event_severity::Info, "term_loaded", "The new leader has loaded all jobs." };
    inline constexpr event leaderSilent { 808, event_severity::Warning, "leader_silent", "The leader did not respond to a call in time; the daemon accesses the store directly." };
    inline constexpr event leadHandedOver { 809, event_severity::Info, "lead_handed_over", "The leader gives the lead to another daemon that can carry it better." };
    inline constexpr event jobCourse { 810, event_severity::Info, "job_course", "The job engine made a decision or received a report about a run, a worker or a job." };
    inline constexpr event jobSettled { 811, event_severity::Info, "job_settled", "A submission was stored, refused or left with an unknown outcome." };
    inline constexpr event jobCancelled { 812, event_severity::Info, "job_cancelled", "The leader tried to store a cancellation." };
    inline constexpr event jobAdopted { 813, event_severity::Info, "job_adopted", "The leader loaded a job or cancellation that was stored by another daemon." };
    inline constexpr event jobNotErased { 814, event_severity::Warning, "job_not_erased", "A key of a removed job could not be deleted from the store." };
    inline constexpr event callAnswered { 815, event_severity::Info, "call_answered", "A caller's request about a job was answered." };
    inline constexpr event writeConflict { 816, event_severity::Info, "write_conflict", "A leader's write found another version of its key; cause=own_write means that an earlier attempt without a reply had taken effect." };
    inline constexpr event jobCancelledEarly { 817, event_severity::Info, "job_cancelled_early", "A daemon tried to store the cancellation of a job that the store doesn't have, so that a submission which is under way isn't stored." };
    inline constexpr event workerAnnounced { 820, event_severity::Info, "worker_announced", "A worker entry was added to the directory or changed." };
    inline constexpr event workerWithdrawn { 821, event_severity::Info, "worker_withdrawn", "A worker entry was removed from the directory." };
    inline constexpr event workerEntryRejected { 822, event_severity::Warning, "worker_entry_rejected", "A directory entry is not a valid worker entry." };
    inline constexpr event evacuationEntryIgnored { 823, event_severity::Warning, "evacuation_entry_ignored", "A key that requests the evacuation of a data centre doesn't name one." };
    inline constexpr event watchInterrupted { 830, event_severity::Warning, "watch_interrupted", "A watch or a listing of the store failed; the watch continues from the same revision, or the prefix is listed again." };
    inline constexpr event storedValueUnreadable { 831, event_severity::Error, "stored_value_unreadable", "A value in the store could not be parsed." };
    inline constexpr event peerMessageDropped { 832, event_severity::Warning, "peer_message_dropped", "A message between daemons could not be sent or parsed." };
    inline constexpr event peerAnswerUnreadable { 833, event_severity::Warning, "peer_answer_unreadable", "A response of an external system could not be parsed." };
    inline constexpr event carrierFound { 840, event_severity::Info, "carrier_found", "A daemon relays orders of the leader to workers." };
    inline constexpr event carrierLost { 841, event_severity::Warning, "carrier_lost", "A relay stopped responding; its open orders count as unanswered." };
    inline constexpr event coordinatorLate { 842, event_severity::Warning, "coordinator_late", "The coordinator ran a timer late, or orders were answered late or not at all, since the last such line." };
    inline constexpr event bestEffortHeld { 843, event_severity::Info, "best_effort_held", "All best-effort runs of a worker are paused, because a service task has missed its latency target for too long." };
    inline constexpr event pauseFailed { 844, event_severity::Warning, "pause_failed", "A worker didn't confirm that it has paused a best-effort run; the next report decides whether the order is repeated." };
    inline constexpr event peerTraffic { 845, event_severity::Info, "peer_traffic", "Bytes of the messages that this daemon has sent to others since the last such line, by kind." };

    inline constexpr event rulesUnconfirmed { 850, event_severity::Warning, "rules_unconfirmed", "Neither the leader nor the store has confirmed this daemon's rules for some time." };
    inline constexpr event rulesConfirmed { 851, event_severity::Info, "rules_confirmed", "The daemon's rules are confirmed again." };
    inline constexpr event followerRevisionUnknown { 852, event_severity::Info, "follower_revision_unknown", "The leader has no changes since a daemon's revision of the rules; that daemon reads the store." };

} // namespace events

} // namespace camphorsaddle::utils
