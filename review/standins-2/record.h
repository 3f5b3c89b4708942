#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

//! \brief Record of what was sent, answered and run, one line an event.
namespace review {

class record {
public:
    explicit record(const std::string& path)
        : m_file(path)
        , m_startedAt(std::chrono::steady_clock::now())
    {
    }

    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", std::chrono::duration<double>(std::chrono::steady_clock::now() - m_startedAt).count());
        m_file << time << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_startedAt;
};

} // namespace review
