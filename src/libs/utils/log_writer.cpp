#include "utils/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "absl/strings/str_cat.h"

namespace camphorsaddle::utils {

namespace {

    // A pipe that is ready takes this much without blocking.
    constexpr std::size_t chunk = 4096;
    constexpr int readyWait = 200;
    constexpr int stopWait = 500;

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
    m_wake.notify_one();
    m_thread.join();
}

void log_writer::write(absl::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.size() + line.size() + 1 > m_settings.capacity) {
        ++m_dropped;
        return;
    }
    const bool wasEmpty = m_waiting.empty();
    absl::StrAppend(&m_waiting, line, "\n");
    if (wasEmpty)
        m_wake.notify_one();
}

std::uint64_t log_writer::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void log_writer::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_isStopping || !m_waiting.empty(); });
        if (!m_isStopping)
            m_wake.wait_for(lock, std::chrono::milliseconds(m_settings.gatherTime), [this] { return m_isStopping; });
        std::string text = std::exchange(m_waiting, {});
        if (m_dropped > m_reportedDropped) {
            absl::StrAppend(&text, "event=120 name=log_dropped count=", m_dropped - m_reportedDropped, "\n");
            m_reportedDropped = m_dropped;
        }
        const bool isLast = m_isStopping;
        lock.unlock();
        const bool isWritten = writeOut(text, isLast ? stopWait : readyWait);
        lock.lock();
        if (isLast || (m_isStopping && !isWritten))
            return;
    }
}

// Waits for a reader without end, but for a stop.
bool log_writer::writeOut(const std::string& text, int waitLimit)
{
    std::size_t done = 0;
    while (done < text.size()) {
        pollfd ready { m_descriptor, POLLOUT, 0 };
        const int count = poll(&ready, 1, waitLimit);
        if (count == 0) {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return false;
            continue;
        }
        const auto written = ::write(m_descriptor, text.data() + done, std::min(chunk, text.size() - done));
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (written > 0)
            done += static_cast<std::size_t>(written);
    }
    return true;
}

} // namespace camphorsaddle::utils
