#pragma once

#include "Decisions/LatencyHistogram.h"

namespace Decisions {

struct HedgingOptions {
    double quantile = 0.95; // of the service's response times: a call that takes longer may be hedged
    std::uint32_t minSamples = 100; // responses needed before any hedge
    Common::Duration minDelay = std::chrono::milliseconds(1);
    double tokensPerCall = 0.03; // long-term share of calls that may be hedged
    double maxTokens = 10; // bounds a burst of hedges; further tokens are lost
};

// Hedging policy of one service: when an idempotent call gets a second, hedged attempt, and how many calls may get one. Not
// thread-safe.
class Hedging {
public:
    explicit Hedging(HedgingOptions options = {});

    void onCall();
    void onAnswer(Common::Duration took) { m_times.add(took); }
    // Time to wait for the first attempt before a hedge is sent; no value before `minSamples` responses.
    std::optional<Common::Duration> delay() const;
    // Takes one token for a hedge; false when there is none.
    bool take();
    const LatencyHistogram& times() const { return m_times; }

private:
    HedgingOptions m_options;
    LatencyHistogram m_times;
    double m_tokens = 0;
};

}
