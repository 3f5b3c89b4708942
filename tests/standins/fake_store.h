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

//! \brief Faults of the connection between one client and the store.
struct store_faults {
    //! Every call fails with Unavailable.
    bool isUnavailable = false;
    //! Responses are held back until fake_store::resume().
    bool isPaused = false;
    //! Percentage of the calls whose request is lost, and percentage of the calls whose response is lost.
    unsigned lostRequestPercent = 0;
    unsigned lostResponsePercent = 0;
    //! Maximum delay of a request and of a response, each.
    utils::milliseconds maximumDelay { 2 };
    //! Time after which a call with a lost request or response fails with DeadlineExceeded. If the response was lost, the
    //! change may still take effect later.
    utils::milliseconds timeout { 100 };
    //! Writes of larger values, in bytes, fail with InvalidArgument.
    std::size_t maximumValueSize = 1'000'000;
};

//! \brief Simulates the platform's store in memory: keys, leases and watches.
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
        return toStatusOrRevision(request.key, m_content.write(request));
    }

    absl::StatusOr<external::revision> erase(const std::string& key, external::revision expectedVersion)
    {
        return toStatusOrRevision(key, m_content.erase(key, expectedVersion));
    }

    absl::StatusOr<external::lease_id> grantLease(utils::milliseconds duration)
    {
        const auto leaseId = m_content.grantLease(duration, m_clock.now());
        m_leaseDurations[leaseId] = duration;
        scheduleLeaseExpiry(duration);
        return leaseId;
    }

    absl::Status renewLease(external::lease_id leaseId)
    {
        if (!m_content.renewLease(leaseId, m_clock.now()))
            return absl::FailedPreconditionError("the lease expired or was revoked");
        scheduleLeaseExpiry(m_leaseDurations[leaseId]);
        return absl::OkStatus();
    }

    absl::Status revokeLease(external::lease_id leaseId)
    {
        m_content.revokeLease(leaseId);
        completeWatches();
        return absl::OkStatus();
    }

    void watch(const std::string& prefix, external::revision after, utils::milliseconds wait, external::store_callback<external::watch_result> callback)
    {
        auto result = changesAfter(prefix, after);
        if (!result.changes.empty())
            return callback(std::move(result));
        const auto pendingWatch = std::make_shared<pending_watch>(pending_watch { prefix, after, std::move(callback) });
        m_watches.push_back(pendingWatch);
        m_clock.callLater(wait, [this, weak = std::weak_ptr<pending_watch>(pendingWatch)] {
            const auto expiredWatch = weak.lock();
            if (expiredWatch && std::erase(m_watches, expiredWatch) > 0)
                expiredWatch->callback(external::watch_result { m_content.revision(), {} });
        });
    }

private:
    struct pending_watch {
        std::string prefix;
        external::revision after = 0;
        external::store_callback<external::watch_result> callback;
    };

    absl::StatusOr<external::revision> toStatusOrRevision(const std::string& key, const store_result& result)
    {
        completeWatches();
        switch (result.outcome) {
        case store_outcome::Done:
            return result.version;
        case store_outcome::KeyNotFound:
            return absl::NotFoundError(key);
        case store_outcome::VersionMismatch:
            return absl::AbortedError(absl::StrCat("key ", key, " has version ", result.version));
        case store_outcome::LeaseEnded:
            break;
        }
        return absl::FailedPreconditionError("the lease expired or was revoked");
    }

    external::watch_result changesAfter(const std::string& prefix, external::revision after) const
    {
        return { m_content.revision(), *m_content.changesAfter(prefix, after) };
    }

    void completeWatches()
    {
        m_watches.remove_if([this](const auto& pendingWatch) {
            if (changesAfter(pendingWatch->prefix, pendingWatch->after).changes.empty())
                return false;
            m_clock.callLater(utils::milliseconds(0), [this, pendingWatch] { pendingWatch->callback(changesAfter(pendingWatch->prefix, pendingWatch->after)); });
            return true;
        });
    }

    void scheduleLeaseExpiry(utils::milliseconds duration)
    {
        m_clock.callLater(duration, [this] {
            m_content.expireLeases(m_clock.now());
            completeWatches();
        });
    }

    virtual_clock& m_clock;
    store m_content { std::numeric_limits<std::size_t>::max() };
    std::map<external::lease_id, utils::milliseconds> m_leaseDurations;
    std::list<std::shared_ptr<pending_watch>> m_watches;
};

//! \brief One client's connection to a fake database, with its own faults and a fixed random seed.
class fake_store final : public external::key_value_store {
public:
    fake_store(virtual_clock& clock, fake_database& database, unsigned seed = 1)
        : m_clock(clock)
        , m_database(database)
        , m_random(seed)
    {
    }

    store_faults faults;

    //! \brief Ends a pause and delivers the responses that were held back.
    void resume()
    {
        faults.isPaused = false;
        for (auto& response : std::exchange(m_heldResponses, {}))
            m_clock.callLater(utils::milliseconds(0), std::move(response));
    }

    void read(const std::string& key, external::store_callback<external::key_value> callback) override
    {
        ++reads;
        callDatabase([=, this] {
            auto found = m_database.read(key);
            readBytes += found.ok() ? found->value.size() : 0;
            return found;
        },
            callback);
    }

    void list(const std::string& prefix, const std::string& start, std::size_t limit, external::store_callback<external::key_listing> callback) override
    {
        ++reads;
        callDatabase([=, this] {
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
        callDatabase([=, this, maximumSize = faults.maximumValueSize]() -> absl::StatusOr<external::revision> {
            if (request.value.size() > maximumSize)
                return absl::InvalidArgumentError("the value is too large");
            return m_database.write(request);
        },
            callback);
    }

    void erase(const std::string& key, external::revision expectedVersion, external::store_callback<external::revision> callback) override
    {
        callDatabase([=, this] { return m_database.erase(key, expectedVersion); }, callback);
    }

    void grantLease(utils::milliseconds duration, external::store_callback<external::lease_id> callback) override
    {
        callDatabase([=, this] { return m_database.grantLease(duration); }, callback);
    }

    void renewLease(external::lease_id leaseId, std::function<void(absl::Status)> callback) override
    {
        callDatabase([=, this] { return m_database.renewLease(leaseId); }, callback);
    }

    void revokeLease(external::lease_id leaseId, std::function<void(absl::Status)> callback) override
    {
        callDatabase([=, this] { return m_database.revokeLease(leaseId); }, callback);
    }

    void watch(const std::string& prefix, external::revision after, utils::milliseconds wait, external::store_callback<external::watch_result> callback) override
    {
        if (faults.isUnavailable)
            return m_clock.callLater(utils::milliseconds(1), [callback] { callback(absl::UnavailableError("the store is unavailable")); });
        m_clock.callLater(drawDelay(faults.maximumDelay), [=, this] {
            m_database.watch(prefix, after, wait, [this, callback](const absl::StatusOr<external::watch_result>& result) {
                // A watch that was open when the store became unavailable fails and delivers no changes.
                const auto received = faults.isUnavailable ? absl::UnavailableError("the store is unavailable") : result;
                deliverResponse(drawDelay(faults.maximumDelay), [callback, received] { callback(received); });
            });
        });
    }

    //! \brief Number of reads (lists included) and writes so far, and the bytes of values in read responses and writes.
    //! Erase, lease and watch calls are not counted.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t readBytes = 0;
    std::uint64_t writtenBytes = 0;

private:
    //! Runs an operation on the database and passes its result to the callback, with delays and losses.
    template <typename Operation, typename Callback>
    void callDatabase(const Operation& operation, const Callback& callback)
    {
        using result_type = decltype(operation());
        if (faults.isUnavailable)
            return deliverResponse(utils::milliseconds(1), [callback] { callback(result_type(absl::UnavailableError("the store is unavailable"))); });
        const bool isRequestLost = drawFault(faults.lostRequestPercent);
        if (isRequestLost || drawFault(faults.lostResponsePercent)) {
            deliverResponse(faults.timeout, [callback] { callback(result_type(absl::DeadlineExceededError("no response"))); });
            if (!isRequestLost)
                m_clock.callLater(drawDelay(faults.timeout * 3), [operation] { static_cast<void>(operation()); });
            return;
        }
        m_clock.callLater(drawDelay(faults.maximumDelay), [this, operation, callback] {
            deliverResponse(drawDelay(faults.maximumDelay), [callback, response = operation()] { callback(response); });
        });
    }

    void deliverResponse(utils::milliseconds delay, std::function<void()> response)
    {
        m_clock.callLater(delay, [this, response = std::move(response)] {
            if (faults.isPaused)
                m_heldResponses.push_back(response);
            else
                response();
        });
    }

    utils::milliseconds drawDelay(utils::milliseconds maximum)
    {
        return utils::milliseconds(m_random() % static_cast<unsigned>(maximum.count() + 1));
    }

    bool drawFault(unsigned percent)
    {
        return m_random() % 100 < percent;
    }

    virtual_clock& m_clock;
    fake_database& m_database;
    std::mt19937 m_random;
    std::deque<std::function<void()>> m_heldResponses;
};

} // namespace camphorsaddle::standins
