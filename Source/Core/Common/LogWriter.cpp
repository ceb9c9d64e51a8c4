#include "Common/LogWriter.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>

namespace Common {

namespace {

    // A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF on Linux).
    constexpr std::size_t maxWriteBytes = 4096;

}

void LogWriter::append(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() + 1 > m_options.bufferBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped != m_reportedDropped) {
        m_buffer += fmt::format("{{\"name\":\"log-lines-dropped\",\"total\":{}}}\n", m_dropped);
        m_reportedDropped = m_dropped;
    }
    m_buffer += line;
    m_buffer += '\n';
}

void LogWriter::flush()
{
    std::lock_guard lock(m_mutex);
    std::size_t written = 0;
    while (written < m_buffer.size() && isWritable()) {
        auto n = ::write(m_options.descriptor, m_buffer.data() + written, std::min(maxWriteBytes, m_buffer.size() - written));
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    m_buffer.erase(0, written);
}

bool LogWriter::isWritable() const
{
    pollfd item { .fd = m_options.descriptor, .events = POLLOUT, .revents = 0 };
    return ::poll(&item, 1, 0) > 0 && (item.revents & POLLOUT) != 0;
}

std::uint64_t LogWriter::dropped() const
{
    std::lock_guard lock(m_mutex);
    return m_dropped;
}

}
