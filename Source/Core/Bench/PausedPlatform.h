#pragma once

#include <atomic>
#include <memory>

#include "Platform/Platform.h"

namespace Bench {

// The platform as a process sees it that stands still between the store's answer and its own next step: while paused,
// answers are held back, and come late and old when the pause is over.
class PausedPlatform : public std::enable_shared_from_this<PausedPlatform> {
public:
    explicit PausedPlatform(Platform::Services services)
        : m_services(std::move(services))
    {
    }

    void pause(bool paused) { m_paused = paused; }
    // The services, which keep this object alive.
    Platform::Services services();

private:
    void hold() const;

    Platform::Services m_services;
    std::atomic<bool> m_paused { false };
};

}
