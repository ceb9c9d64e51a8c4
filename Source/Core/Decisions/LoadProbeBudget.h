#pragma once

#include <cstddef>

#include "Common/Clock.h"

namespace Decisions {

struct LoadProbeBudgetOptions {
    double rateShare = 0.85; // share of the rate in use: entries learn late of changes in how many share it
    double burstS = 12; // unused probes saved for a burst, in seconds of the rate; the operators' bound counts over a day
    double startBurstS = 4; // probes available at the start, in seconds of the rate
    double maxPerSelection = 8; // probes of one server selection: more do not improve it
    double minPerSelection = 1; // probes of one server selection while any are left
};

// Divides an entry's load probes among its server selections: many for each at low load, fewer as the load grows, so that
// each selection still gets a fresh load report. Not thread-safe.
class LoadProbeBudget {
public:
    explicit LoadProbeBudget(LoadProbeBudgetOptions options = {})
        : m_options(options)
    {
    }

    // Sets the load probes per second that this entry may send.
    void setRate(double rate, Common::TimePoint now);
    // Records the start of a server selection and returns the number of probes to send for it.
    double beginServerSelection(Common::TimePoint now);
    // Takes up to `wanted` probes from the budget; returns how many may be sent.
    std::size_t take(std::size_t wanted, Common::TimePoint now);

private:
    void refill(Common::TimePoint now);

    LoadProbeBudgetOptions m_options;
    double m_rate = 0; // probes per second
    double m_tokens = 0;
    double m_selectionRate = 0; // server selections per second, decaying average
    Common::TimePoint m_refilledAt;
    bool m_started = false;
};

}
