#pragma once

#include <memory>
#include <mutex>

namespace Common {

// Holder of an immutable value. Readers get a shared pointer; a writer replaces the whole value. Thread-safe.
template <typename T>
class Snapshot {
public:
    explicit Snapshot(std::shared_ptr<const T> value = std::make_shared<const T>())
        : m_value(std::move(value))
    {
    }

    std::shared_ptr<const T> get() const
    {
        std::lock_guard lock(m_mutex);
        return m_value;
    }

    void set(std::shared_ptr<const T> value)
    {
        std::lock_guard lock(m_mutex);
        // The old value is released by the parameter's destructor, after the lock.
        m_value.swap(value);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
};

}
