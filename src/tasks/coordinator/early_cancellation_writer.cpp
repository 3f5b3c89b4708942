#include "tasks/coordinator/early_cancellation_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "tasks/coordinator/leader_election.h"

namespace camphorsaddle::tasks {

namespace {

    // Time to collect cancellations; callers that cancel many jobs send them at the same time.
    constexpr utils::milliseconds batchingDelay { 25 };
    // An expectation and a put.
    constexpr std::size_t entriesPerCancellation = 2;

} // namespace

early_cancellation_writer::early_cancellation_writer(transport::event_loop& loop, external::transactional_store& store)
    : m_store(store)
    , m_flushTimer(loop, [this] { flush(); })
{
}

early_cancellation_writer::~early_cancellation_writer() = default;

void early_cancellation_writer::store(const std::string& job, stored_callback callback)
{
    m_waiting.push_back({ job, std::move(callback) });
    if (!m_flushTimer.isActive())
        m_flushTimer.startOnce(batchingDelay);
}

void early_cancellation_writer::flush()
{
    auto waiting = std::exchange(m_waiting, {});
    const auto batchSize = m_store.entryLimit() / entriesPerCancellation;
    for (std::size_t begin = 0; begin < waiting.size(); begin += batchSize) {
        const auto first = waiting.begin() + static_cast<std::ptrdiff_t>(begin);
        const auto last = waiting.begin() + static_cast<std::ptrdiff_t>(std::min(begin + batchSize, waiting.size()));
        sendTransaction(batch(std::make_move_iterator(first), std::make_move_iterator(last)));
    }
}

void early_cancellation_writer::sendTransaction(batch cancellations)
{
    external::transaction change;
    for (const auto& cancellation : cancellations) {
        change.expected.push_back({ store_keys::job(cancellation.job), 0 });
        change.puts.push_back({ store_keys::earlyCancellation(cancellation.job), store_keys::cancelledMark, 0 });
    }
    m_store.transact(change, [this, alive = std::weak_ptr(m_alive), cancellations = std::move(cancellations)](const absl::StatusOr<external::transaction_result>& result) mutable {
        if (alive.expired())
            return;
        if (result.ok() && !result->isCommitted) {
            handleConflict(cancellations, result->present);
            return;
        }
        for (const auto& cancellation : cancellations)
            cancellation.callback(result.ok() ? absl::StatusOr<bool>(true) : result.status());
    });
}

void early_cancellation_writer::handleConflict(batch& cancellations, const std::vector<external::key_value>& present)
{
    for (auto& cancellation : cancellations) {
        if (std::ranges::find(present, store_keys::job(cancellation.job), &external::key_value::key) != present.end())
            cancellation.callback(false);
        else
            store(cancellation.job, std::move(cancellation.callback));
    }
}

} // namespace camphorsaddle::tasks
