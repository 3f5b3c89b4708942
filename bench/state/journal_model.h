#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "external/guarded_store.h"
#include "journal/log.h"
#include "standins/fake_store.h"

namespace camphorsaddle::bench {

struct journal_model_settings {
    std::uint64_t ring = journal::options {}.ring;
    std::size_t daemons = 7;
    std::size_t shards = 28;
    std::size_t tasksPerShard = 1100;
    double startsPerSecond = 90;
    double writeBudget = 150;
    unsigned seed = 20261204;
};

//! \brief Journal of one shard whose state is as large as the scheduler's: entries by its codec, the snapshot of equal size.
class model_shard final : public journal::observer {
public:
    //! Bytes of one task in the scheduler's snapshot.
    static std::size_t taskBytes();

    std::size_t entries = 0;
    std::size_t tasks = 0;

    void restore(absl::string_view snapshot) override;
    void apply(std::uint64_t epoch, absl::string_view entry) override;
    std::string snapshot() override;
    void ownershipLost(const absl::Status&) override { }
};

//! \brief Shards of a deployment on the virtual clock: 90 starts and 90 ends a second, each with its entries.
class journal_model {
public:
    explicit journal_model(journal_model_settings settings);
    ~journal_model();

    struct totals {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t readBytes = 0;
        std::uint64_t writtenBytes = 0;
    };

    struct takeover {
        double seconds = 0;
        std::size_t entries = 0;
        totals cost;
        bool isWhole = true;
    };

    //! \brief Runs the load.
    void run(utils::seconds duration);
    totals spent() const;
    //! \brief New daemons take over the first \a count shards at once while the load goes on in the others.
    takeover takeOver(std::size_t count);

private:
    struct process;
    struct owned_shard;

    process& addProcess();
    std::unique_ptr<owned_shard> makeOwner(process& on, std::size_t shard);
    void load();

    journal_model_settings m_settings;
    standins::virtual_clock m_clock;
    standins::fake_database m_database { m_clock };
    std::deque<std::unique_ptr<process>> m_processes;
    std::vector<std::unique_ptr<owned_shard>> m_shards;
    std::vector<std::unique_ptr<owned_shard>> m_former;
    std::uint64_t m_ownerCount = 0;
    std::uint64_t m_started = 0;
    double m_due = 0;
};

} // namespace camphorsaddle::bench
