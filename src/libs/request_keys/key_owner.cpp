#include "request_keys/key_owner.h"

#include <utility>

#include "request_keys/key_codec.h"
#include "utils/events.h"

namespace camphorsaddle::request_keys {

key_owner::key_owner(external::key_value_store& store, journal::executor& loop, journal::write_budget& budget, owner_settings settings, wall_clock clock)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_table(m_settings.lifetime)
{
    journal::options options;
    options.name = m_settings.name;
    options.writer = m_settings.writer;
    journal::observer& self = *this;
    m_log = std::make_unique<journal::log>(store, loop, budget, std::move(options), self);
}

key_owner::~key_owner()
{
    // Pending appends end first; their callbacks still find this object whole.
    m_log.reset();
    refuseWaiting();
}

void key_owner::open()
{
    m_log->open(1, [this](const absl::StatusOr<std::uint64_t>& epoch) {
        if (epoch.ok())
            endDeadClaims();
    });
}

bool key_owner::isReady() const
{
    return m_log != nullptr && m_log->state() == journal::log_state::Open && m_log->isStoreReachable();
}

bool key_owner::isDeposed() const
{
    return m_log->state() == journal::log_state::OwnershipLost || m_log->state() == journal::log_state::Closed;
}

void key_owner::claim(const std::string& key, const claimant& holder, std::uint64_t fingerprint, claim_callback callback)
{
    if (!isReady()) {
        callback({ claim_verdict::Unavailable, {} });
        return;
    }
    if (m_claiming.contains(key)) {
        callback({ claim_verdict::Wait, {} });
        m_waiting[key].push_back({ holder, fingerprint, std::move(callback) });
        return;
    }
    const auto now = m_clock();
    const auto verdict = m_table.find(key, holder, fingerprint, now);
    const auto* known = m_table.record(key);
    const bool isOwnAgain = verdict == claim_verdict::Granted && known != nullptr && known->holder == holder;
    if (verdict == claim_verdict::Wait) {
        callback({ verdict, {} });
        m_waiting[key].push_back({ holder, fingerprint, std::move(callback) });
        return;
    }
    if (verdict != claim_verdict::Granted || isOwnAgain) {
        callback({ verdict, verdict == claim_verdict::Answered ? known->answer : key_answer {} });
        return;
    }
    m_claiming.insert(key);
    append({ key, now, { key_phase::Claimed, holder, fingerprint, now, {} } }, [this, key, callback = std::move(callback)](const absl::Status& status) {
        m_claiming.erase(key);
        callback({ status.ok() ? claim_verdict::Granted : claim_verdict::Unavailable, {} });
        answerWaiting(key);
    });
}

void key_owner::settle(const std::string& key, const claimant& holder, key_phase end, key_answer answer)
{
    if (end == key_phase::Answered && answer.body.size() > m_settings.largestAnswer)
        end = key_phase::Unknown;
    const key_entry change { key, m_clock(), { end, holder, 0, 0, end == key_phase::Answered ? std::move(answer) : key_answer {} } };
    append(change, [this, key](const absl::Status&) { answerWaiting(key); });
}

void key_owner::setLive(const std::map<std::string, std::uint64_t>& live)
{
    m_live = live;
    if (m_log->state() == journal::log_state::Open)
        endDeadClaims();
}

void key_owner::endDeadClaims()
{
    if (m_live.empty())
        return;
    std::vector<std::pair<std::string, claimant>> dead;
    for (const auto& [key, record] : m_table.records()) {
        const auto found = m_live.find(record.holder.member);
        if (record.phase == key_phase::Claimed && (found == m_live.end() || found->second != record.holder.incarnation))
            dead.emplace_back(key, record.holder);
    }
    for (const auto& [key, holder] : dead)
        settle(key, holder, key_phase::Unknown, {});
}

void key_owner::release(std::function<void()> callback)
{
    refuseWaiting();
    m_log->release([callback = std::move(callback)](const absl::Status&) { callback(); });
}

void key_owner::append(const key_entry& change, journal::log::append_callback callback)
{
    m_log->append(encodeEntry(change), std::move(callback));
}

// Each waiting claim is looked at anew: it may get the answer, or the key when the first one sent nothing.
void key_owner::answerWaiting(const std::string& key)
{
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end() || m_log == nullptr)
        return;
    auto waiting = std::move(found->second);
    m_waiting.erase(found);
    for (auto& each : waiting)
        claim(key, each.holder, each.fingerprint, std::move(each.callback));
}

void key_owner::refuseWaiting()
{
    for (auto& [key, waiting] : std::exchange(m_waiting, {})) {
        for (auto& each : waiting)
            each.callback({ claim_verdict::Unavailable, {} });
    }
}

void key_owner::restore(absl::string_view snapshot)
{
    auto records = decodeSnapshot(snapshot);
    if (records.ok())
        m_table.restore(*std::move(records));
    else
        utils::logEvent(utils::events::journalCorrupt, { { "journal", m_settings.name }, { "cause", std::string(records.status().message()) } });
}

void key_owner::apply(std::uint64_t, absl::string_view entry)
{
    if (const auto change = decodeEntry(entry); change.ok())
        m_table.apply(*change);
    else
        utils::logEvent(utils::events::journalCorrupt, { { "journal", m_settings.name }, { "cause", std::string(change.status().message()) } });
}

std::string key_owner::snapshot()
{
    return encodeSnapshot(m_table);
}

void key_owner::ownershipLost(const absl::Status&)
{
    refuseWaiting();
}

} // namespace camphorsaddle::request_keys
