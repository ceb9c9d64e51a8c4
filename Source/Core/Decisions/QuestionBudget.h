#pragma once

#include <cstddef>

#include "Common/Clock.h"

namespace Decisions {

struct QuestionBudgetOptions {
    double margin = 0.85; // used of the rate: entries learn late how many share it
    double savedS = 12; // seconds of unused questions kept for a burst; the operators' bound counts over a day
    double startS = 4; // seconds of questions that a new process may spend at once
    double most = 8; // questions worth asking for one choice
    double least = 1; // asked even when the budget runs low, as long as there is one left
};

// Spreads an entry's questions for servers' load over its choices: many for each while there are few choices, fewer as the
// load grows, so that no choice is left without a fresh report. Not thread-safe.
class QuestionBudget {
public:
    explicit QuestionBudget(QuestionBudgetOptions options = {})
        : m_options(options)
    {
    }

    // Questions a second that this entry may ask.
    void setRate(double rate, Common::TimePoint now);
    // Begins a choice: how many questions are worth asking for it.
    double beginChoice(Common::TimePoint now);
    // Takes up to `wanted` questions; returns how many may be asked.
    std::size_t take(std::size_t wanted, Common::TimePoint now);

private:
    void fill(Common::TimePoint now);

    QuestionBudgetOptions m_options;
    double m_rate = 0;
    double m_tokens = 0;
    double m_choiceRate = 0; // choices a second of late
    Common::TimePoint m_filledAt;
    bool m_started = false;
};

}
