#include "journal/confirmed_write.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/hashing.h"

namespace camphorsaddle::journal {

namespace {

    class confirmed_write : public std::enable_shared_from_this<confirmed_write> {
    public:
        confirmed_write(std::shared_ptr<write_context> context, std::weak_ptr<void> owner, external::write_request request, std::function<void(write_result)> callback)
            : m_context(std::move(context))
            , m_owner(std::move(owner))
            , m_request(std::move(request))
            , m_callback(std::move(callback))
        {
        }

        void write()
        {
            if (m_owner.expired())
                return;
            ++m_context->issuedWrites;
            m_context->store.write(m_request, [self = shared_from_this()](absl::StatusOr<external::revision> answer) { self->handleWriteAnswer(std::move(answer)); });
        }

    private:
        void handleWriteAnswer(absl::StatusOr<external::revision> answer)
        {
            if (m_owner.expired())
                return;
            m_context->recordStoreResult(answer.status());
            if (answer.ok()) {
                finish(write_outcome::Written, { m_request.key, *answer, {} });
                return;
            }
            switch (answer.status().code()) {
            case absl::StatusCode::kUnavailable:
                retry(&confirmed_write::writeRateLimited);
                return;
            case absl::StatusCode::kInvalidArgument:
                m_cause = answer.status();
                finish(write_outcome::Rejected, {});
                return;
            case absl::StatusCode::kAborted:
                readBack();
                return;
            default:
                m_wasUncertain = true;
                retry(&confirmed_write::readBack);
                return;
            }
        }

        void readBack()
        {
            if (m_owner.expired())
                return;
            m_context->store.read(m_request.key, [self = shared_from_this()](absl::StatusOr<external::key_value> answer) { self->handleReadAnswer(std::move(answer)); });
        }

        void handleReadAnswer(absl::StatusOr<external::key_value> answer)
        {
            if (m_owner.expired())
                return;
            const bool isAbsent = absl::IsNotFound(answer.status());
            m_context->recordStoreResult(isAbsent ? absl::OkStatus() : answer.status());
            if (!answer.ok() && !isAbsent) {
                retry(&confirmed_write::readBack);
                return;
            }
            external::key_value current = answer.ok() ? *std::move(answer) : external::key_value { m_request.key, 0, {} };
            if (current.version != 0 && current.value == m_request.value)
                finish(write_outcome::Written, std::move(current));
            else if (current.version == m_request.expectedVersion)
                writeRateLimited();
            else
                finish(write_outcome::Conflict, std::move(current));
        }

        void writeRateLimited()
        {
            runRateLimited(m_context, m_owner, [self = shared_from_this()] { self->write(); });
        }

        void retry(void (confirmed_write::*step)())
        {
            const auto delay = m_context->retryDelay(m_failures++);
            m_context->loop.callLater(delay, [self = shared_from_this(), step] { (self.get()->*step)(); });
        }

        void finish(write_outcome outcome, external::key_value current)
        {
            // Holds the owner, as the callback may drop the last other reference to it.
            if (const auto owner = m_owner.lock())
                m_callback({ outcome, std::move(current), m_wasUncertain, m_cause });
        }

        std::shared_ptr<write_context> m_context;
        std::weak_ptr<void> m_owner;
        external::write_request m_request;
        std::function<void(write_result)> m_callback;
        unsigned m_failures = 0;
        bool m_wasUncertain = false;
        absl::Status m_cause;
    };

} // namespace

void write_context::recordStoreResult(const absl::Status& status)
{
    const bool isReached = status.ok() || absl::IsAborted(status);
    if (isReached == isReachable)
        return;
    isReachable = isReached;
    if (isReached)
        utils::logEvent(utils::events::storeAvailable, { { "step", "journal" } });
    else
        utils::logEvent(utils::events::storeUnavailable, { { "step", "journal" }, { "cause", utils::describe(status) } });
}

utils::milliseconds write_context::retryDelay(unsigned failures)
{
    constexpr unsigned maximumDoublings = 16;
    const auto delay = std::min(maximumRetryDelay, initialRetryDelay * (1U << std::min(failures, maximumDoublings)));
    const auto halfDelay = std::max<std::int64_t>(delay.count() / 2, 1);
    jitterSeed = utils::stableHash("retry", jitterSeed);
    return utils::milliseconds(halfDelay + static_cast<std::int64_t>(jitterSeed % static_cast<std::uint64_t>(halfDelay)));
}

void writeConfirmed(std::shared_ptr<write_context> context, std::weak_ptr<void> owner, external::write_request request, std::function<void(write_result)> callback)
{
    std::make_shared<confirmed_write>(std::move(context), std::move(owner), std::move(request), std::move(callback))->write();
}

void runRateLimited(const std::shared_ptr<write_context>& context, std::weak_ptr<void> owner, std::function<void()> function)
{
    const auto wait = context->budget.reserve(context->loop.now());
    if (wait.count() == 0) {
        function();
        return;
    }
    context->loop.callLater(wait, [owner = std::move(owner), function = std::move(function)] {
        if (const auto lockedOwner = owner.lock())
            function();
    });
}

} // namespace camphorsaddle::journal
