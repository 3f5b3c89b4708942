#include "utils/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "absl/strings/str_cat.h"

namespace camphorsaddle::utils {

namespace {

    // A pipe that poll() reports as writable accepts this many bytes (PIPE_BUF) without blocking.
    constexpr std::size_t maximumWriteSize = 4096;
    constexpr int pollTimeoutMs = 200;
    constexpr int stopTimeoutMs = 500;

} // namespace

log_writer::log_writer(int descriptor, log_writer_settings settings)
    : m_descriptor(descriptor)
    , m_settings(settings)
    , m_thread([this] { run(); })
{
}

log_writer::~log_writer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_one();
    m_thread.join();
}

void log_writer::write(absl::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() + 1 > m_settings.capacity) {
        ++m_droppedLineCount;
        return;
    }
    const bool wasEmpty = m_buffer.empty();
    absl::StrAppend(&m_buffer, line, "\n");
    if (wasEmpty)
        m_wakeUp.notify_one();
}

std::uint64_t log_writer::droppedLineCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_droppedLineCount;
}

void log_writer::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeUp.wait(lock, [this] { return m_isStopping || !m_buffer.empty(); });
        if (!m_isStopping)
            m_wakeUp.wait_for(lock, std::chrono::milliseconds(m_settings.flushIntervalMs), [this] { return m_isStopping; });
        std::string text = std::exchange(m_buffer, {});
        if (m_droppedLineCount > m_reportedDropCount) {
            absl::StrAppend(&text, "event=120 name=log_dropped count=", m_droppedLineCount - m_reportedDropCount, "\n");
            m_reportedDropCount = m_droppedLineCount;
        }
        const bool isLast = m_isStopping;
        lock.unlock();
        const bool isWritten = writeAll(text, isLast ? stopTimeoutMs : pollTimeoutMs);
        lock.lock();
        if (isLast || (m_isStopping && !isWritten))
            return;
    }
}

// Waits for the reader without a time limit, except while the writer stops: then it gives up after \a timeoutMs without progress.
bool log_writer::writeAll(const std::string& text, int timeoutMs)
{
    std::size_t writtenBytes = 0;
    while (writtenBytes < text.size()) {
        pollfd ready { m_descriptor, POLLOUT, 0 };
        const int count = poll(&ready, 1, timeoutMs);
        if (count == 0) {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return false;
            continue;
        }
        const auto written = ::write(m_descriptor, text.data() + writtenBytes, std::min(maximumWriteSize, text.size() - writtenBytes));
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (written > 0)
            writtenBytes += static_cast<std::size_t>(written);
    }
    return true;
}

} // namespace camphorsaddle::utils
