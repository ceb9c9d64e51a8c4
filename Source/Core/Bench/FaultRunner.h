#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "Bench/Faults.h"

namespace Bench {

struct FaultHooks {
    std::function<void(const Fault&)> begin;
    std::function<void(const Fault&)> end;
};

// Begins and ends the faults of a schedule at their times, on a thread of its own; what takes long delays nothing else.
class FaultRunner {
public:
    FaultRunner(std::vector<Fault>, FaultHooks);
    ~FaultRunner();
    FaultRunner(const FaultRunner&) = delete;
    FaultRunner& operator=(const FaultRunner&) = delete;

    // `start` is the time from which the schedule counts.
    void start(Common::TimePoint start);
    // Drops what has not begun, ends nothing that has, and waits for what is under way.
    void stop();

private:
    void run(Common::TimePoint start);

    std::vector<Fault> m_faults;
    FaultHooks m_hooks;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
    std::vector<std::thread> m_longOnes;
};

}
