#include "journal/reader.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "journal/record.h"
#include "utils/errors.h"
#include "utils/hashing.h"

namespace camphorsaddle::journal {

namespace {

    absl::Status mixedContents(absl::string_view key, absl::string_view cause)
    {
        return utils::makeError(absl::StatusCode::kAborted, "read journal", key, cause);
    }

    absl::Status corrupt(absl::string_view key, absl::string_view cause)
    {
        return utils::makeError(absl::StatusCode::kDataLoss, "read journal", key, cause);
    }

    class contents_reader : public std::enable_shared_from_this<contents_reader> {
    public:
        using callback_type = std::function<void(absl::StatusOr<log_contents>)>;

        contents_reader(external::key_value_store& store, std::string name, reading options, callback_type callback)
            : m_store(store)
            , m_name(std::move(name))
            , m_options(options)
            , m_callback(std::move(callback))
        {
        }

        void readHead()
        {
            // A log without a snapshot counts as one whose snapshot is empty.
            m_contents.head.set_checksum(utils::stableHash({}));
            read(snapshotHeadKey(m_name), [this](const external::key_value& head) {
                if (head.version != 0) {
                    if (auto status = decodeEnvelope(head.key, head.value, m_contents.head); !status.ok()) {
                        m_callback(status);
                        return;
                    }
                }
                readChunk(0);
            });
        }

    private:
        //! Answers with version 0 for an absent key.
        void read(const std::string& key, std::function<void(const external::key_value&)> next)
        {
            ++m_contents.calls;
            m_store.read(key, [self = shared_from_this(), key, next = std::move(next)](const absl::StatusOr<external::key_value>& value) {
                if (!value.ok() && !absl::IsNotFound(value.status())) {
                    self->m_callback(utils::withContext(value.status(), "read journal", self->m_name));
                    return;
                }
                const auto found = value.ok() ? *value : external::key_value { key, 0, {} };
                self->note(found);
                next(found);
            });
        }

        void note(const external::key_value& value)
        {
            m_contents.versions[value.key] = value.version;
            m_contents.bytes += value.key.size() + value.value.size();
        }

        void readChunk(std::uint32_t index)
        {
            if (index >= m_contents.head.chunks()) {
                if (m_contents.state.size() != m_contents.head.bytes() || utils::stableHash(m_contents.state) != m_contents.head.checksum())
                    mix(mixedContents(snapshotHeadKey(m_name), absl::StrCat("the chunks do not match the head, which covers slot ", m_contents.head.covered_slot())));
                listSlots({});
                return;
            }
            read(snapshotChunkKey(m_name, m_contents.head.generation(), index), [this, index](const external::key_value& value) {
                protocol::SnapshotChunk chunk;
                if (value.version == 0) {
                    mix(mixedContents(value.key, absl::StrCat("a chunk of the snapshot that covers slot ", m_contents.head.covered_slot(), " is missing")));
                } else if (auto status = decodeEnvelope(value.key, value.value, chunk); !status.ok()) {
                    m_callback(status);
                    return;
                } else if (chunk.generation() != m_contents.head.generation()) {
                    mix(mixedContents(value.key, absl::StrCat("the chunk belongs to another generation than the head, which covers slot ", m_contents.head.covered_slot())));
                }
                m_contents.state += chunk.content();
                readChunk(index + 1);
            });
        }

        void listSlots(const std::string& start)
        {
            ++m_contents.calls;
            m_store.list(absl::StrCat(logPrefix(m_name), "slot/"), start, m_options.pageKeys, [self = shared_from_this()](const absl::StatusOr<external::key_listing>& page) {
                if (!page.ok()) {
                    self->m_callback(utils::withContext(page.status(), "list journal", self->m_name));
                    return;
                }
                if (const auto status = self->addSlots(*page); !status.ok()) {
                    self->m_callback(status);
                    return;
                }
                if (page->entries.size() == self->m_options.pageKeys)
                    self->listSlots(page->entries.back().key + '\0');
                else
                    self->finish();
            });
        }

        absl::Status addSlots(const external::key_listing& page)
        {
            for (const auto& entry : page.entries) {
                note(entry);
                protocol::JournalRecord record;
                if (auto status = decodeEnvelope(entry.key, entry.value, record); !status.ok())
                    return status;
                if (record.journal() != m_name)
                    return corrupt(entry.key, absl::StrCat("slot ", record.slot(), " belongs to journal ", record.journal()));
                if (entry.key != slotKey(m_name, record.slot(), m_options.ring))
                    return corrupt(entry.key, absl::StrCat("slot ", record.slot(), " does not belong to this key; the ring size differs"));
                const auto slot = record.slot();
                m_slots.insert_or_assign(slot, std::move(record));
            }
            return absl::OkStatus();
        }

        void finish()
        {
            m_contents.lastSlot = m_contents.head.covered_slot();
            m_contents.lastEpoch = m_contents.head.epoch();
            // Covered slots still tell the epochs of their writers.
            for (const auto& [slot, record] : m_slots)
                m_contents.lastEpoch = std::max(m_contents.lastEpoch, record.epoch());
            for (auto next = m_slots.find(m_contents.lastSlot + 1); next != m_slots.end(); next = m_slots.find(m_contents.lastSlot + 1)) {
                m_contents.lastSlot = next->first;
                m_contents.records.push_back(std::move(next->second));
            }
            if (!m_slots.empty() && m_slots.rbegin()->first > m_contents.lastSlot) {
                const auto missing = m_contents.lastSlot + 1;
                mix(mixedContents(slotKey(m_name, missing, m_options.ring), absl::StrCat("slot ", missing, " is missing before slot ", m_slots.rbegin()->first)));
            }
            m_callback(std::move(m_contents));
        }

        void mix(const absl::Status& cause)
        {
            if (m_contents.mixed.ok())
                m_contents.mixed = cause;
        }

        external::key_value_store& m_store;
        std::string m_name;
        reading m_options;
        callback_type m_callback;
        log_contents m_contents;
        std::map<std::uint64_t, protocol::JournalRecord> m_slots;
    };

} // namespace

external::revision log_contents::versionOf(const std::string& key) const
{
    const auto found = versions.find(key);
    return found == versions.end() ? 0 : found->second;
}

std::uint64_t log_contents::fingerprint() const
{
    std::uint64_t hash = 0;
    for (const auto& [key, version] : versions)
        hash = utils::stableHash(key, hash ^ version);
    return hash;
}

void readContents(external::key_value_store& store, const std::string& name, reading options, std::function<void(absl::StatusOr<log_contents>)> callback)
{
    std::make_shared<contents_reader>(store, name, options, std::move(callback))->readHead();
}

} // namespace camphorsaddle::journal
