#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "journal/log.h"
#include "journal/record.h"
#include "recording_observer.h"
#include "standins/fake_store.h"
#include "standins/pausable_executor.h"

#include "gtest/gtest.h"

#include "rapidcheck/gtest.h"

namespace camphorsaddle::journal {

namespace {

    using utils::milliseconds;
    using utils::seconds;

    //! One log instance. Instances of a daemon follow each other, and a paused one may resume after a later one has opened.
    struct log_instance {
        log_instance(standins::virtual_clock& clock, standins::fake_database& database, std::size_t number, std::uint64_t slotCount)
            : store(clock, database, static_cast<unsigned>(number + 1))
            , loop(clock)
            , budget(200, 4)
        {
            options settings;
            settings.name = "test";
            settings.writer = absl::StrCat("writer-", number);
            settings.slotCount = slotCount;
            settings.maximumChunkBytes = 32;
            settings.keysPerPage = 3 + number % 5;
            journal = std::make_unique<log>(store, loop, budget, settings, observer);
        }

        standins::fake_store store;
        standins::pausable_executor loop;
        write_budget budget;
        recording_observer observer;
        std::unique_ptr<log> journal;
        bool isOpenAnswered = false;
        absl::Status openStatus;
        //! Whether a stored value may have been corrupt while this instance opened the log.
        bool sawCorruption = false;
        //! Loses the connection to the store as soon as open() has completed, before the first snapshot.
        bool crashesAtOpen = false;
    };

    enum class step_kind {
        Append,
        Run,
        TakeOver,
        Pause,
        Resume,
        LoseMessages,
        ClearFaults,
        Outage,
        Crash,
        Corrupt,
        Repair,
        LimitValues,
        Release,
        CrashAtOpen,
    };

    using step = std::tuple<step_kind, unsigned, unsigned>;

    class scenario {
    public:
        explicit scenario(std::uint64_t slotCount)
            : m_slotCount(slotCount)
        {
            takeOver();
        }

        void perform(const step& next)
        {
            const auto [kind, choice, amount] = next;
            // Only the five newest instances are chosen.
            const std::size_t live = std::min<std::size_t>(m_instances.size(), 5);
            auto& chosen = *m_instances[m_instances.size() - 1 - choice % live];
            switch (kind) {
            case step_kind::Append:
                for (unsigned count = 0; count <= amount % 4; ++count)
                    append(chosen);
                break;
            case step_kind::Run:
                m_clock.runFor(milliseconds(amount));
                break;
            case step_kind::TakeOver:
                takeOver();
                break;
            case step_kind::Pause:
                chosen.store.faults.isPaused = true;
                chosen.loop.pause();
                break;
            case step_kind::Resume:
                resume(chosen);
                break;
            case step_kind::LoseMessages:
                chosen.store.faults.lostResponsePercent = amount % 60;
                chosen.store.faults.lostRequestPercent = amount % 40;
                chosen.store.faults.maximumDelay = milliseconds(amount % 90);
                break;
            case step_kind::ClearFaults:
                clearFaults(chosen);
                break;
            case step_kind::Outage:
                chosen.store.faults.isUnavailable = true;
                break;
            case step_kind::Crash:
                chosen.journal.reset();
                break;
            case step_kind::Corrupt:
                corrupt(amount);
                break;
            case step_kind::Repair:
                repair();
                break;
            case step_kind::LimitValues:
                chosen.store.faults.maximumValueSize = 100 + amount;
                break;
            case step_kind::Release:
                if (chosen.journal)
                    chosen.journal->release([](const absl::Status&) {});
                break;
            case step_kind::CrashAtOpen:
                takeOver();
                m_instances.back()->crashesAtOpen = true;
                break;
            }
        }

        void finish()
        {
            for (auto& each : m_instances) {
                clearFaults(*each);
                resume(*each);
            }
            repair();
            m_clock.runFor(seconds(60));
        }

        void check()
        {
            const auto expected = readAll();
            RC_ASSERT(readAll() == expected);
            for (const auto& each : m_instances) {
                RC_ASSERT(each->isOpenAnswered);
                RC_ASSERT(each->sawCorruption || each->openStatus.code() != absl::StatusCode::kDataLoss);
                RC_ASSERT(each->openStatus.code() != absl::StatusCode::kResourceExhausted);
                const auto& applied = each->observer.entries;
                RC_ASSERT(applied.size() <= expected.size());
                RC_ASSERT(std::equal(applied.begin(), applied.end(), expected.begin()));
            }
            for (const auto& [entry, answers] : m_answers) {
                const auto count = std::count(expected.begin(), expected.end(), entry);
                RC_ASSERT(answers.size() == 1U);
                RC_ASSERT(count <= 1);
                if (answers.front() == absl::StatusCode::kOk)
                    RC_ASSERT(count == 1);
                else if (answers.front() != absl::StatusCode::kUnknown)
                    RC_ASSERT(count == 0);
            }
        }

        std::size_t acknowledged() const
        {
            return static_cast<std::size_t>(std::count_if(m_answers.begin(), m_answers.end(), [](const auto& item) { return item.second.front() == absl::StatusCode::kOk; }));
        }

    private:
        void takeOver()
        {
            m_instances.push_back(std::make_unique<log_instance>(m_clock, m_database, m_instances.size(), m_slotCount));
            auto& next = *m_instances.back();
            next.sawCorruption = !m_originalValue.key.empty();
            next.journal->open(1, [&next](const absl::StatusOr<std::uint64_t>& result) {
                next.isOpenAnswered = true;
                next.openStatus = result.status();
                next.store.faults.isUnavailable = next.store.faults.isUnavailable || next.crashesAtOpen;
            });
        }

        void append(log_instance& chosen)
        {
            if (!chosen.journal)
                return;
            const std::string entry = absl::StrCat("entry-", m_answers.size());
            auto& answers = m_answers[entry];
            chosen.journal->append(entry, [&answers](const absl::Status& status) { answers.push_back(status.code()); });
        }

        //! Alters one byte of a stored value, unless another value is altered already.
        void corrupt(unsigned choice)
        {
            const auto keys = m_database.list(logKeyPrefix("test"), {}, 0).entries;
            if (!m_originalValue.key.empty() || keys.empty())
                return;
            m_originalValue = keys[choice % keys.size()];
            m_corruptValue = m_originalValue;
            char& byte = m_corruptValue.value[choice * 7 % m_corruptValue.value.size()];
            byte = static_cast<char>(byte ^ (1 + choice % 255));
            m_corruptValue.version = *m_database.write({ m_corruptValue.key, m_corruptValue.value, m_originalValue.version, 0 });
            for (const auto& each : m_instances)
                each->sawCorruption = each->sawCorruption || !each->isOpenAnswered;
        }

        //! Restores the altered value, as an operator would, unless a writer has replaced it.
        void repair()
        {
            if (!m_originalValue.key.empty())
                (void)m_database.write({ m_originalValue.key, m_originalValue.value, m_corruptValue.version, 0 });
            m_originalValue = {};
        }

        static void resume(log_instance& chosen)
        {
            chosen.loop.resume();
            chosen.store.resume();
        }

        static void clearFaults(log_instance& chosen)
        {
            chosen.store.faults = { .isPaused = chosen.store.faults.isPaused };
        }

        std::vector<std::string> readAll()
        {
            takeOver();
            m_clock.runFor(seconds(10));
            RC_ASSERT(m_instances.back()->openStatus == absl::OkStatus());
            RC_ASSERT(m_instances.back()->isOpenAnswered);
            return m_instances.back()->observer.entries;
        }

        std::uint64_t m_slotCount;
        standins::virtual_clock m_clock;
        standins::fake_database m_database { m_clock };
        std::map<std::string, std::vector<absl::StatusCode>> m_answers;
        std::vector<std::unique_ptr<log_instance>> m_instances;
        external::key_value m_originalValue;
        external::key_value m_corruptValue;
    };

    rc::Gen<std::vector<step>> steps()
    {
        const auto kind = rc::gen::weightedElement<step_kind>({
            { 40, step_kind::Append },
            { 25, step_kind::Run },
            { 5, step_kind::TakeOver },
            { 5, step_kind::Pause },
            { 5, step_kind::Resume },
            { 5, step_kind::LoseMessages },
            { 4, step_kind::ClearFaults },
            { 2, step_kind::Outage },
            { 2, step_kind::Crash },
            { 1, step_kind::Corrupt },
            { 2, step_kind::Repair },
            { 1, step_kind::LimitValues },
            { 1, step_kind::Release },
            { 4, step_kind::CrashAtOpen },
        });
        const auto one = rc::gen::tuple(kind, rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 400U));
        return rc::gen::scale(8, rc::gen::container<std::vector<step>>(one));
    }

    RC_GTEST_PROP(log_interleavings, AllReadersSeeTheSameLogWithEachAcknowledgedEntryOnce, ())
    {
        scenario run(*rc::gen::element<std::uint64_t>(16, 32));
        for (const auto& next : *steps())
            run.perform(next);
        run.finish();
        run.check();
        RC_CLASSIFY(run.acknowledged() > 20, "more than 20 acknowledged");
    }

} // namespace

} // namespace camphorsaddle::journal
