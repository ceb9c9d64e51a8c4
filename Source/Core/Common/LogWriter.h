#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace Common {

struct LogWriterOptions {
    int descriptor = 1; // standard output
    std::size_t bufferBytes = 64 * 1024; // kept while the reader is slow; lines beyond are dropped and counted
};

// Writes lines to a descriptor without ever waiting for its reader. Thread-safe.
class LogWriter {
public:
    explicit LogWriter(LogWriterOptions options = {})
        : m_options(options)
    {
    }

    // Takes one line, without its end.
    void append(const std::string& line);
    // Hands over what the reader takes now.
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
