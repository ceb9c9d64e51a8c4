#include "Decisions/AttemptOutcome.h"

namespace Decisions {

using Common::Outcome;
using Common::ResultCode;

Outcome attemptOutcome(const AttemptEnd& end)
{
    switch (end.stage) {
    case AttemptStage::BeforeConnect:
    case AttemptStage::Connecting:
    case AttemptStage::BeforeSend:
        return Outcome::NotRun;
    case AttemptStage::Answered:
        return end.provenNotRun ? Outcome::NotRun : Outcome::Answered;
    case AttemptStage::PartlySent:
        // Bytes handed to the kernel may reach the server, and a server may act on the request head alone.
    case AttemptStage::Sent:
    case AttemptStage::PartlyAnswered:
        return Outcome::Unknown;
    }
    return Outcome::Unknown;
}

ResultCode attemptCode(const AttemptEnd& end)
{
    switch (attemptOutcome(end)) {
    case Outcome::Answered:
        return ResultCode::Ok;
    case Outcome::NotRun:
        if (end.stage == AttemptStage::Answered)
            return ResultCode::ServerShed;
        return end.fault == AttemptFault::TimedOut ? ResultCode::DeadlineExpired : ResultCode::ConnectFailed;
    case Outcome::Unknown:
        break;
    }
    switch (end.fault) {
    case AttemptFault::TimedOut:
        return ResultCode::AnswerTimeout;
    case AttemptFault::CutShort:
    case AttemptFault::Malformed:
        return ResultCode::AnswerCut;
    case AttemptFault::TooLarge:
        return ResultCode::AnswerTooLarge;
    default:
        return ResultCode::AnswerLost;
    }
}

bool mayRetry(const AttemptEnd& end, bool idempotent)
{
    switch (attemptOutcome(end)) {
    case Outcome::NotRun:
        return true;
    case Outcome::Answered:
        return false;
    case Outcome::Unknown:
        return idempotent && end.fault != AttemptFault::Cancelled;
    }
    return false;
}

}
