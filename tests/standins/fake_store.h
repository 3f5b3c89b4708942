#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "standins/store.h"
#include "standins/virtual_clock.h"

namespace camphorsaddle::standins {

//! \brief What goes wrong between one client and the store. Shares are percentages of the calls.
struct store_faults {
    //! Refuses every call with Unavailable.
    bool isOut = false;
    //! Holds back the answers until it is false again.
    bool isPaused = false;
    unsigned lostRequests = 0;
    unsigned lostAnswers = 0;
    utils::milliseconds longestDelay { 2 };
    //! Time after which a lost call fails with DeadlineExceeded; a lost answer's change may take effect after that.
    utils::milliseconds timeout { 100 };
    //! Greater values are refused with InvalidArgument.
    std::size_t largestValue = 1'000'000;
};

//! \brief Keys, leases and watches of the platform's store in memory.
class fake_database {
public:
    explicit fake_database(virtual_clock& clock)
        : m_clock(clock)
    {
    }

    absl::StatusOr<external::key_value> read(const std::string& key) const
    {
        const auto found = m_content.entries().find(key);
        if (found == m_content.entries().end())
            return absl::NotFoundError(key);
        return external::key_value { key, found->second.version, found->second.value };
    }

    external::key_listing list(const std::string& prefix, const std::string& start, std::size_t limit) const
    {
        return { m_content.revision(), m_content.list(prefix, start, limit) };
    }

    absl::StatusOr<external::revision> write(const external::write_request& request)
    {
        return complete(request.key, m_content.write(request));
    }

    absl::StatusOr<external::revision> erase(const std::string& key, external::revision expectedVersion)
    {
        return complete(key, m_content.erase(key, expectedVersion));
    }

    absl::StatusOr<external::lease_id> grantLease(utils::milliseconds term)
    {
        const auto lease = m_content.grantLease(term, m_clock.now());
        m_terms[lease] = term;
        expireAfter(term);
        return lease;
    }

    absl::Status renewLease(external::lease_id lease)
    {
        if (!m_content.renewLease(lease, m_clock.now()))
            return absl::FailedPreconditionError("the lease has ended");
        expireAfter(m_terms[lease]);
        return absl::OkStatus();
    }

    absl::Status revokeLease(external::lease_id lease)
    {
        m_content.revokeLease(lease);
        answerWatches();
        return absl::OkStatus();
    }

    void watch(const std::string& prefix, external::revision after, utils::milliseconds wait, external::store_callback<external::watch_result> callback)
    {
        auto present = changesAfter(prefix, after);
        if (!present.changes.empty())
            return callback(std::move(present));
        const auto waiting = std::make_shared<waiting_watch>(waiting_watch { prefix, after, std::move(callback) });
        m_watches.push_back(waiting);
        m_clock.callLater(wait, [this, weak = std::weak_ptr<waiting_watch>(waiting)] {
            const auto ended = weak.lock();
            if (ended && std::erase(m_watches, ended) > 0)
                ended->callback(external::watch_result { m_content.revision(), {} });
        });
    }

private:
    struct waiting_watch {
        std::string prefix;
        external::revision after = 0;
        external::store_callback<external::watch_result> callback;
    };

    absl::StatusOr<external::revision> complete(const std::string& key, const store_result& result)
    {
        answerWatches();
        switch (result.outcome) {
        case store_outcome::Done:
            return result.version;
        case store_outcome::Absent:
            return absl::NotFoundError(key);
        case store_outcome::VersionDiffers:
            return absl::AbortedError(absl::StrCat("key ", key, " has version ", result.version));
        case store_outcome::LeaseEnded:
            break;
        }
        return absl::FailedPreconditionError("the lease has ended");
    }

    external::watch_result changesAfter(const std::string& prefix, external::revision after) const
    {
        return { m_content.revision(), *m_content.changesAfter(prefix, after) };
    }

    void answerWatches()
    {
        m_watches.remove_if([this](const auto& waiting) {
            if (changesAfter(waiting->prefix, waiting->after).changes.empty())
                return false;
            m_clock.callLater(utils::milliseconds(0), [this, waiting] { waiting->callback(changesAfter(waiting->prefix, waiting->after)); });
            return true;
        });
    }

    void expireAfter(utils::milliseconds term)
    {
        m_clock.callLater(term, [this] {
            m_content.expireLeases(m_clock.now());
            answerWatches();
        });
    }

    virtual_clock& m_clock;
    store m_content { std::numeric_limits<std::size_t>::max() };
    std::map<external::lease_id, utils::milliseconds> m_terms;
    std::list<std::shared_ptr<waiting_watch>> m_watches;
};

//! \brief One client's connection to a fake database, with faults of its own and a fixed seed.
class fake_store final : public external::key_value_store {
public:
    fake_store(virtual_clock& clock, fake_database& database, unsigned seed = 1)
        : m_clock(clock)
        , m_database(database)
        , m_random(seed)
    {
    }

    store_faults faults;

    //! \brief Ends a pause and delivers the held answers.
    void resume()
    {
        faults.isPaused = false;
        for (auto& answer : std::exchange(m_held, {}))
            m_clock.callLater(utils::milliseconds(0), std::move(answer));
    }

    void read(const std::string& key, external::store_callback<external::key_value> callback) override
    {
        ++reads;
        call([=, this] {
            auto found = m_database.read(key);
            readBytes += found.ok() ? found->value.size() : 0;
            return found;
        },
            callback);
    }

    void list(const std::string& prefix, const std::string& start, std::size_t limit, external::store_callback<external::key_listing> callback) override
    {
        ++reads;
        call([=, this] {
            auto listing = m_database.list(prefix, start, limit);
            for (const auto& entry : listing.entries)
                readBytes += entry.value.size();
            return absl::StatusOr<external::key_listing>(std::move(listing));
        },
            callback);
    }

    void write(const external::write_request& request, external::store_callback<external::revision> callback) override
    {
        ++writes;
        writtenBytes += request.value.size();
        call([=, this, largest = faults.largestValue]() -> absl::StatusOr<external::revision> {
            if (request.value.size() > largest)
                return absl::InvalidArgumentError("the value is too large");
            return m_database.write(request);
        },
            callback);
    }

    void erase(const std::string& key, external::revision expectedVersion, external::store_callback<external::revision> callback) override
    {
        call([=, this] { return m_database.erase(key, expectedVersion); }, callback);
    }

    void grantLease(utils::milliseconds term, external::store_callback<external::lease_id> callback) override
    {
        call([=, this] { return m_database.grantLease(term); }, callback);
    }

    void renewLease(external::lease_id lease, std::function<void(absl::Status)> callback) override
    {
        call([=, this] { return m_database.renewLease(lease); }, callback);
    }

    void revokeLease(external::lease_id lease, std::function<void(absl::Status)> callback) override
    {
        call([=, this] { return m_database.revokeLease(lease); }, callback);
    }

    void watch(const std::string& prefix, external::revision after, utils::milliseconds wait, external::store_callback<external::watch_result> callback) override
    {
        if (faults.isOut)
            return m_clock.callLater(utils::milliseconds(1), [callback] { callback(absl::UnavailableError("the store is out")); });
        m_clock.callLater(delay(faults.longestDelay), [=, this] {
            m_database.watch(prefix, after, wait, [this, callback](const absl::StatusOr<external::watch_result>& result) {
                // A watch that is open when an outage begins brings nothing more.
                const auto seen = faults.isOut ? absl::UnavailableError("the store is out") : result;
                deliverAfter(delay(faults.longestDelay), [callback, seen] { callback(seen); });
            });
        });
    }

    //! \brief Calls so far but for leases and watches, and the bytes that read answers and writes carried.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t readBytes = 0;
    std::uint64_t writtenBytes = 0;

private:
    //! Carries a call to the database and its answer back, with delay and loss.
    template <typename Effect, typename Callback>
    void call(const Effect& effect, const Callback& callback)
    {
        using answer_type = decltype(effect());
        if (faults.isOut)
            return deliverAfter(utils::milliseconds(1), [callback] { callback(answer_type(absl::UnavailableError("the store is out"))); });
        const bool isRequestLost = happens(faults.lostRequests);
        if (isRequestLost || happens(faults.lostAnswers)) {
            deliverAfter(faults.timeout, [callback] { callback(answer_type(absl::DeadlineExceededError("no answer"))); });
            if (!isRequestLost)
                m_clock.callLater(delay(faults.timeout * 3), [effect] { static_cast<void>(effect()); });
            return;
        }
        m_clock.callLater(delay(faults.longestDelay), [this, effect, callback] {
            deliverAfter(delay(faults.longestDelay), [callback, answer = effect()] { callback(answer); });
        });
    }

    void deliverAfter(utils::milliseconds delay, std::function<void()> answer)
    {
        m_clock.callLater(delay, [this, answer = std::move(answer)] {
            if (faults.isPaused)
                m_held.push_back(answer);
            else
                answer();
        });
    }

    utils::milliseconds delay(utils::milliseconds longest)
    {
        return utils::milliseconds(m_random() % static_cast<unsigned>(longest.count() + 1));
    }

    bool happens(unsigned percent)
    {
        return m_random() % 100 < percent;
    }

    virtual_clock& m_clock;
    fake_database& m_database;
    std::mt19937 m_random;
    std::deque<std::function<void()>> m_held;
};

} // namespace camphorsaddle::standins
