#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "external/transactional_store.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks::test {

//! \brief What the store does with the next calls.
enum class store_mood {
    Answers,
    //! Refuses, nothing is done.
    Refuses,
    //! Does what it is told, and the answer is lost.
    LosesAnswers,
};

//! \brief A transactional store in memory that answers on the loop.
class transacting_store final : public external::transactional_store {
public:
    explicit transacting_store(transport::event_loop& loop)
        : m_answers(loop, [this] { answerAll(); })
    {
    }

    store_mood mood = store_mood::Answers;
    //! Watches hear nothing of changes.
    bool isMute = false;
    std::map<std::string, external::key_value> content;
    unsigned transactions = 0;
    unsigned watches = 0;
    unsigned listings = 0;

    void put(const std::string& key, const std::string& value)
    {
        content[key] = { key, ++m_revision, value };
        if (!isMute)
            tellWatches(content[key]);
    }

    std::size_t entryLimit() const override
    {
        return 32;
    }

    void transact(const external::transaction& change, external::store_callback<external::transaction_result> callback) override
    {
        ++transactions;
        if (mood == store_mood::Refuses) {
            answer([callback] { callback(absl::UnavailableError("refused")); });
            return;
        }
        auto result = apply(change);
        if (mood == store_mood::LosesAnswers)
            answer([callback] { callback(absl::DeadlineExceededError("no answer")); });
        else
            answer([callback, result] { callback(result); });
    }

    void read(const std::string& key, external::store_callback<external::key_value> callback) override
    {
        const auto found = content.find(key);
        const absl::StatusOr<external::key_value> result = found == content.end() ? absl::StatusOr<external::key_value>(absl::NotFoundError(key)) : found->second;
        answer([callback, result] { callback(result); });
    }

    void list(const std::string& prefix, const std::string&, std::size_t, external::store_callback<external::key_listing> callback) override
    {
        if (mood == store_mood::Refuses) {
            answer([callback] { callback(absl::UnavailableError("refused")); });
            return;
        }
        ++listings;
        external::key_listing listing { m_revision, {} };
        for (const auto& [key, value] : content) {
            if (key.starts_with(prefix))
                listing.entries.push_back(value);
        }
        answer([callback, listing] { callback(listing); });
    }

    //! Watches that wait a millisecond answer at once, also when those that wait hear nothing.
    void watch(const std::string& prefix, external::revision after, utils::milliseconds wait, external::store_callback<external::watch_result> callback) override
    {
        ++watches;
        if (mood == store_mood::Refuses) {
            answer([callback] { callback(absl::UnavailableError("refused")); });
            return;
        }
        external::watch_result result { m_revision, {} };
        for (const auto& [key, value] : content) {
            if (key.starts_with(prefix) && value.version > after)
                result.changes.push_back({ key, value.version, value.value, false });
        }
        const bool waits = wait > utils::milliseconds(1);
        if (!waits || (!isMute && !result.changes.empty())) {
            answer([callback, result] { callback(result); });
            return;
        }
        m_watches.emplace_back(prefix, std::move(callback));
    }

    void write(const external::write_request&, external::store_callback<external::revision> callback) override
    {
        answer([callback] { callback(absl::UnimplementedError("not used")); });
    }

    void erase(const std::string&, external::revision, external::store_callback<external::revision> callback) override
    {
        answer([callback] { callback(absl::UnimplementedError("not used")); });
    }

    void grantLease(utils::milliseconds, external::store_callback<external::lease_id> callback) override
    {
        answer([callback] { callback(external::lease_id(1)); });
    }

    void renewLease(external::lease_id, std::function<void(absl::Status)> callback) override
    {
        answer([callback] { callback(absl::OkStatus()); });
    }

    void revokeLease(external::lease_id, std::function<void(absl::Status)> callback) override
    {
        answer([callback] { callback(absl::OkStatus()); });
    }

private:
    external::transaction_result apply(const external::transaction& change)
    {
        external::transaction_result result { true, 0, {} };
        for (const auto& expected : change.expected) {
            const auto found = content.find(expected.key);
            result.isCommitted = result.isCommitted && (found == content.end() ? 0 : found->second.version) == expected.version;
            if (found != content.end())
                result.present.push_back(found->second);
        }
        if (!result.isCommitted)
            return result;
        result = { true, ++m_revision, {} };
        for (const auto& entry : change.puts)
            content[entry.key] = { entry.key, m_revision, entry.value, entry.lease };
        for (const auto& key : change.erased)
            content.erase(key);
        return result;
    }

    void tellWatches(const external::key_value& value)
    {
        std::vector<std::pair<std::string, external::store_callback<external::watch_result>>> rest;
        for (auto& [prefix, callback] : m_watches) {
            if (!value.key.starts_with(prefix)) {
                rest.emplace_back(prefix, callback);
                continue;
            }
            const external::watch_result result { m_revision, { { value.key, value.version, value.value, false } } };
            answer([callback = callback, result] { callback(result); });
        }
        m_watches = std::move(rest);
    }

    void answer(std::function<void()> function)
    {
        m_waiting.push_back(std::move(function));
        m_answers.startOnce(utils::milliseconds(0));
    }

    void answerAll()
    {
        for (const auto& function : std::exchange(m_waiting, {}))
            function();
    }

    transport::timer m_answers;
    std::vector<std::function<void()>> m_waiting;
    std::vector<std::pair<std::string, external::store_callback<external::watch_result>>> m_watches;
    external::revision m_revision = 1;
};

//! \brief Runs the loop for a while.
inline void runLoop(transport::event_loop& loop, utils::milliseconds duration)
{
    transport::timer end(loop, [&] { loop.stop(); });
    end.startOnce(duration);
    loop.run();
}

} // namespace camphorsaddle::tasks::test
