#pragma once

#include <atomic>
#include <thread>

#include "Bench/Fleet.h"

namespace Bench {

// Looks at the revision in force at every entry again and again, and counts each time one went back.
class RevisionWatch {
public:
    explicit RevisionWatch(const Fleet&);
    ~RevisionWatch();
    RevisionWatch(const RevisionWatch&) = delete;
    RevisionWatch& operator=(const RevisionWatch&) = delete;

    // Ends the watch and returns the count.
    int stop();

private:
    void run();

    const Fleet& m_fleet;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_reverts { 0 };
    std::thread m_thread;
};

}
