#pragma once

#include "Decisions/LatencyHistogram.h"

namespace Decisions {

struct HedgingOptions {
    double quantile = 0.95; // of the service's answer times: a call older than it may be hedged
    std::uint32_t minSamples = 100; // answers seen before any hedge
    Common::Duration minDelay = std::chrono::milliseconds(1);
    double callShare = 0.03; // tokens a call earns
    double limit = 10; // tokens held at most
};

// When, and how often, one service's idempotent calls get a second request. Not thread-safe.
class Hedging {
public:
    explicit Hedging(HedgingOptions options = {});

    void onCall();
    void onAnswer(Common::Duration took) { m_times.add(took); }
    // How long to wait for the first answer before a second request is sent; nothing while too little is known.
    std::optional<Common::Duration> delay() const;
    // Spends the budget for one hedge; false when there is none.
    bool take();
    const LatencyHistogram& times() const { return m_times; }

private:
    HedgingOptions m_options;
    LatencyHistogram m_times;
    double m_tokens = 0;
};

}
