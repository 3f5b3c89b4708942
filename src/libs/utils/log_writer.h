#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

#include "absl/strings/string_view.h"

namespace camphorsaddle::utils {

struct log_writer_settings {
    //! Bytes that may wait; lines beyond are dropped and counted.
    std::size_t capacity = 256 * 1024;
    //! Lines of this time are written together, ms.
    unsigned gatherTime = 50;
};

//! \brief Writes lines to a file descriptor from a thread of its own, so that a reader who does not read blocks nobody.
//!
//! After a gap one line "event=120 name=log_dropped count=N" tells how many are missing.
class log_writer {
public:
    explicit log_writer(int descriptor, log_writer_settings settings = {});
    //! Writes what waits, as far as the reader takes it within half a second.
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    //! \brief Queues a line; safe from any thread, never waits for the reader.
    void write(absl::string_view line);
    //! \brief Lines that were dropped so far.
    std::uint64_t dropped() const;

private:
    void run();
    bool writeOut(const std::string& text, int waitLimit);

    int m_descriptor;
    log_writer_settings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace camphorsaddle::utils
