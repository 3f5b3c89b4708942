#include "utils/events.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "glog/logging.h"
#include "utils/log_writer.h"

namespace camphorsaddle::utils {

namespace {

    constexpr std::array catalogue {
        events::processStarted,
        events::processStopping,
        events::processStopped,
        events::listening,
        events::processReloaded,
        events::callersClosed,
        events::undeclaredTransition,
        events::logDropped,
        events::logLinesLeftOut,
        events::requestRefused,
        events::requestUnknown,
        events::minionsChanged,
        events::shardTaken,
        events::shardReleased,
        events::taskStarted,
        events::taskEnded,
        events::taskReturned,
        events::jobRefused,
        events::evacuationRequested,
        events::evacuationCancelled,
        events::evacuationKnown,
        events::evacuationEnded,
        events::evacuationDrained,
        events::evacuationIgnored,
        events::evacuationsUnknown,
        events::evacuationsConfirmed,
        events::configurationApplied,
        events::configurationRejected,
        events::configurationSubmitted,
        events::configurationWatchSilent,
        events::memberJoined,
        events::memberLeft,
        events::memberLeaseLost,
        events::administrationRefused,
        events::administrationChange,
        events::accessOpen,
        events::storeUnavailable,
        events::storeAvailable,
        events::journalDeposed,
        events::journalCorrupt,
        events::leadTaken,
        events::leadLost,
        events::leaderSeen,
        events::leaderGone,
        events::candidacyLost,
        events::leaseNotRenewed,
        events::leaseNotEnded,
        events::termLoaded,
        events::leaderSilent,
        events::leadHandedOver,
        events::jobCourse,
        events::jobSettled,
        events::jobCancelled,
        events::jobAdopted,
        events::jobNotErased,
        events::callAnswered,
        events::writeConflict,
        events::jobCancelledEarly,
        events::workerAnnounced,
        events::workerWithdrawn,
        events::workerEntryRejected,
        events::evacuationEntryIgnored,
        events::watchInterrupted,
        events::storedValueUnreadable,
        events::peerMessageDropped,
        events::peerAnswerUnreadable,
        events::carrierFound,
        events::carrierLost,
        events::coordinatorLate,
        events::bestEffortHeld,
        events::pauseFailed,
        events::peerTraffic,
        events::rulesUnconfirmed,
        events::rulesConfirmed,
        events::followerRevisionUnknown,
    };

    log_writer* currentWriter = nullptr;

    absl::string_view severityName(event_severity severity)
    {
        constexpr absl::string_view names[] { "info", "warning", "error" };
        return names[static_cast<std::size_t>(severity)];
    }

    bool needsQuotes(absl::string_view value)
    {
        return value.empty() || value.find_first_of(" \t\r\n\"=\\") != absl::string_view::npos;
    }

    std::string quote(absl::string_view value)
    {
        return absl::StrCat("\"", absl::StrReplaceAll(value, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" }, { "\r", "\\r" } }), "\"");
    }

} // namespace

std::span<const event> eventCatalogue()
{
    return catalogue;
}

std::string formatEvent(const event& kind, std::initializer_list<event_field> fields)
{
    std::string line = absl::StrCat("event=", kind.number, " name=", kind.name);
    for (const auto& field : fields)
        absl::StrAppend(&line, " ", field.key, "=", needsQuotes(field.value) ? quote(field.value) : field.value);
    return line;
}

void setLogWriter(log_writer* writer)
{
    currentWriter = writer;
}

void logEvent(const event& kind, std::initializer_list<event_field> fields)
{
    const std::string line = formatEvent(kind, fields);
    if (currentWriter != nullptr) {
        const auto now = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
        currentWriter->write(absl::StrCat("time=", now, " severity=", severityName(kind.severity), " ", line));
        return;
    }
    switch (kind.severity) {
    case event_severity::Info:
        LOG(INFO) << line;
        return;
    case event_severity::Warning:
        LOG(WARNING) << line;
        return;
    case event_severity::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace camphorsaddle::utils
