// What was sent, answered and run, one line an event, with the seconds since the start of the script.
#pragma once

#include <cstdio>
#include <mutex>

#include "http.h"

namespace review {

class record {
public:
    explicit record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_startedAt(nowMs())
    {
        if (m_file == nullptr)
            throw std::runtime_error("can't write " + path);
    }

    void note(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(nowMs() - m_startedAt) / 1000, text.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    std::int64_t m_startedAt;
};

} // namespace review
