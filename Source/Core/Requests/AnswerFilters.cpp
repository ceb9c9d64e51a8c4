#include "Requests/AnswerFilters.h"

namespace Requests {

namespace {

    CallStats::Counter& counterOf(CallStats& stats, Common::Outcome outcome)
    {
        switch (outcome) {
        case Common::Outcome::Answered:
            return stats.answered;
        case Common::Outcome::NotRun:
            return stats.notRun;
        case Common::Outcome::Unknown:
            break;
        }
        return stats.unknown;
    }

}

Filter timelineFilter(Common::EventLog& log, CallStats& stats)
{
    return [&log, &stats](Call& call, const Next& next) {
        next(call);
        ++stats.calls;
        ++counterOf(stats, call.outcome);
        auto answered = call.outcome == Common::Outcome::Answered;
        log.trace(answered ? Common::EventId::CallAnswered : Common::EventId::CallFailed,
            { { "request", call.id }, { "service", call.service }, { "result", std::string(Common::resultRow(call.code).name) } });
    };
}

}
