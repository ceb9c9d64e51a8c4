#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "Bench/Deployment.h"
#include "Platform/Platform.h"
#include "Records/RecordWrite.h"

namespace Bench {

struct OperatorRaceOptions {
    const Deployment& deployment;
    std::string policy;
    int operators = 4;
    Common::Duration limit = std::chrono::seconds(10); // of one write
};

// What operators were told, held against the history in the store.
struct OperatorRaceResult {
    int writes = 0;
    int applied = 0;
    int conflicts = 0;
    int unsettled = 0;
    int wronglyReported = 0; // told as applied but not in the history once, or as not applied but there
};

// Operators who replace the same record over and over, each in the belief that the latest it read is the latest.
class OperatorRace {
public:
    OperatorRace(Platform::Table, OperatorRaceOptions);
    ~OperatorRace();
    OperatorRace(const OperatorRace&) = delete;
    OperatorRace& operator=(const OperatorRace&) = delete;

    // Ends the race and checks it; the store must be up.
    OperatorRaceResult stop();

private:
    struct Told {
        Records::WriteState state;
        std::string nonce;
    };

    void run(int number);

    Platform::Table m_table;
    OperatorRaceOptions m_options;
    std::atomic<bool> m_stopping { false };
    std::vector<std::vector<Told>> m_told; // by operator
    std::vector<std::thread> m_threads;
};

}
