#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace Common {

struct LogWriterOptions {
    int descriptor = 1; // standard output
    std::size_t bufferBytes = 64 * 1024; // buffered while the reader is slow; lines that do not fit are dropped and counted
};

// Writes lines to a file descriptor without blocking on a slow reader. Thread-safe.
class LogWriter {
public:
    explicit LogWriter(LogWriterOptions options = {})
        : m_options(options)
    {
    }

    // Buffers one line, given without its newline.
    void append(const std::string& line);
    // Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    std::uint64_t dropped() const;

private:
    bool isWritable() const;

    LogWriterOptions m_options;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

}
