#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

#include "absl/strings/string_view.h"

namespace camphorsaddle::utils {

struct log_writer_settings {
    //! Maximum number of buffered bytes; lines that do not fit are dropped and counted.
    std::size_t capacity = 256 * 1024;
    //! Time in milliseconds for which lines are collected before they are written together.
    unsigned flushIntervalMs = 50;
};

//! \brief Writes log lines to a file descriptor on a separate thread, so that a stalled reader does not block the callers.
//!
//! After lines were dropped, one line "event=120 name=log_dropped count=N" reports how many.
class log_writer {
public:
    explicit log_writer(int descriptor, log_writer_settings settings = {});
    //! Writes the buffered lines; gives up when the reader accepts nothing for half a second.
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    //! \brief Buffers a line; may be called from any thread and never waits for the reader.
    void write(absl::string_view line);
    //! \brief Number of lines dropped so far.
    std::uint64_t droppedLineCount() const;

private:
    void run();
    bool writeAll(const std::string& text, int timeoutMs);

    int m_descriptor;
    log_writer_settings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::string m_buffer;
    std::uint64_t m_droppedLineCount = 0;
    std::uint64_t m_reportedDropCount = 0;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace camphorsaddle::utils
