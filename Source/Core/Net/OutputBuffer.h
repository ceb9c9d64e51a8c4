#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace Net {

// Bytes that wait to be sent on one socket. Sent ones are dropped in batches, so that a long output is not moved with each send.
class OutputBuffer {
public:
    void assign(std::string bytes)
    {
        m_bytes = std::move(bytes);
        m_sent = 0;
    }
    void append(std::string_view bytes) { m_bytes.append(bytes); }
    bool empty() const { return m_sent == m_bytes.size(); }
    std::size_t size() const { return m_bytes.size() - m_sent; }
    std::string_view unsent() const { return std::string_view(m_bytes).substr(m_sent); }
    void consume(std::size_t n)
    {
        m_sent += n;
        if (empty())
            clear();
        else if (m_sent >= minDropBytes && m_sent >= size())
            drop();
    }
    void clear()
    {
        m_sent = 0;
        // Frees the memory of a long output; connections may then be idle for a long time. An assignment would keep it.
        if (m_bytes.capacity() > maxKeptCapacity)
            std::string().swap(m_bytes);
        else
            m_bytes.clear();
    }
    std::size_t capacity() const { return m_bytes.capacity(); }

private:
    void drop()
    {
        // A copy takes what is left, not what was needed at most.
        if (m_bytes.capacity() > maxKeptCapacity)
            std::string(unsent()).swap(m_bytes);
        else
            m_bytes.erase(0, m_sent);
        m_sent = 0;
    }

    static constexpr std::size_t minDropBytes = 16 * 1024;
    static constexpr std::size_t maxKeptCapacity = 16 * 1024;

    std::string m_bytes;
    std::size_t m_sent = 0; // from the front of m_bytes
};

}
