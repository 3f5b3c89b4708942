#pragma once

#include <string>
#include <vector>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "journal/log.h"

namespace camphorsaddle::journal {

//! \brief Keeps every applied entry; its snapshot is the list of them.
class recording_observer final : public observer {
public:
    std::vector<std::string> entries;
    int depositions = 0;

    void restore(absl::string_view snapshot) override
    {
        entries = absl::StrSplit(snapshot, '\n', absl::SkipEmpty());
    }
    void apply(std::uint64_t, absl::string_view entry) override
    {
        entries.emplace_back(entry);
    }
    std::string snapshot() override
    {
        return absl::StrJoin(entries, "\n");
    }
    void ownershipLost(const absl::Status&) override
    {
        ++depositions;
    }
};

} // namespace camphorsaddle::journal
