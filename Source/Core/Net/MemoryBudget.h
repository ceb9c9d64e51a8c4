#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>

namespace Net {

class MemoryBudget;

// What one connection holds of a budget. Bytes are given back on destruction.
class MemoryAccount {
public:
    explicit MemoryAccount(MemoryBudget* budget)
        : m_budget(budget)
    {
    }
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }
    // Whether the connection may read more; always without a budget.
    bool mayRead() const;

private:
    MemoryBudget* m_budget;
    std::size_t m_bytes = 0;
};

// Bytes that all connections of a process together hold: received and not passed on, or waiting to be sent. Counts what it is told;
// connections ask it before they read. Not thread-safe.
class MemoryBudget {
public:
    // A connection that holds less than this may always read, so that large messages don't stop small ones.
    static constexpr std::size_t alwaysReadBytes = 16 * 1024;

    explicit MemoryBudget(std::size_t limitBytes = std::numeric_limits<std::size_t>::max())
        : m_limit(limitBytes)
    {
    }

    std::size_t limit() const { return m_limit; }
    std::size_t used() const { return m_used; }
    std::size_t peak() const { return m_peak; }
    // Whether a connection that holds `bytes` may read more.
    bool mayRead(std::size_t bytes) const { return bytes < alwaysReadBytes || m_used < m_limit; }
    // Whether a body that is passed on while it arrives may begin. False well before reading pauses.
    bool takesLargeBodies() const;
    // Whether further requests may begin at all. Those that always may read could otherwise exceed any limit by their number.
    bool takesRequests() const;

    // Calls the hook once, when there is room again. Hooks are called in the order in which they were given.
    void onRoom(std::function<void()> hook);
    // Calls as many hooks as there is room for. To be called about once a second: those called before may have read nothing since.
    void wake();
    std::uint64_t waits() const { return m_waits; }

private:
    friend class MemoryAccount;

    void change(std::size_t before, std::size_t after);

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::size_t m_peak = 0;
    std::list<std::function<void()>> m_waiting;
    std::uint64_t m_waits = 0; // hooks given so far
};

}
