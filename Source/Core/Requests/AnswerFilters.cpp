#include "Requests/AnswerFilters.h"

namespace Requests {

Filter timelineFilter(Common::EventLog& log)
{
    return [&log](Call& call, const Next& next) {
        next(call);
        auto answered = call.outcome == Common::Outcome::Answered;
        log.trace(answered ? Common::EventId::CallAnswered : Common::EventId::CallFailed,
            { { "request", call.id }, { "service", call.service }, { "result", std::string(Common::resultRow(call.code).name) } });
    };
}

}
