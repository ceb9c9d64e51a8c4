#include "Decisions/AttemptOutcome.h"

#include <doctest/doctest.h>

namespace {

using Common::Outcome;
using Common::ResultCode;
using Decisions::AttemptEnd;
using Decisions::AttemptFault;
using Decisions::AttemptStage;

struct Case {
    const char* what;
    AttemptEnd end;
    Outcome outcome;
    ResultCode code;
    bool againIfIdempotent;
    bool againIfNever;
};

const Case cases[] = {
    { "no connection free", { .stage = AttemptStage::BeforeConnect, .fault = AttemptFault::Refused }, Outcome::NotRun, ResultCode::ConnectFailed, true, true },
    { "connection refused", { .stage = AttemptStage::Connecting, .fault = AttemptFault::Refused }, Outcome::NotRun, ResultCode::ConnectFailed, true, true },
    { "connect timed out", { .stage = AttemptStage::Connecting, .fault = AttemptFault::TimedOut }, Outcome::NotRun, ResultCode::DeadlineExpired, true, true },
    { "stale before send", { .stage = AttemptStage::BeforeSend, .fault = AttemptFault::Closed }, Outcome::NotRun, ResultCode::ConnectFailed, true, true },
    { "reset while sending", { .stage = AttemptStage::PartlySent, .fault = AttemptFault::Closed }, Outcome::Unknown, ResultCode::AnswerLost, true, false },
    { "reset after send", { .stage = AttemptStage::Sent, .fault = AttemptFault::Closed }, Outcome::Unknown, ResultCode::AnswerLost, true, false },
    { "silent after send", { .stage = AttemptStage::Sent, .fault = AttemptFault::TimedOut }, Outcome::Unknown, ResultCode::AnswerTimeout, true, false },
    { "body cut short", { .stage = AttemptStage::PartlyAnswered, .fault = AttemptFault::CutShort }, Outcome::Unknown, ResultCode::AnswerCut, true, false },
    { "cancelled", { .stage = AttemptStage::Sent, .fault = AttemptFault::Cancelled }, Outcome::Unknown, ResultCode::AnswerLost, false, false },
    { "answered", { .stage = AttemptStage::Answered, .status = 200 }, Outcome::Answered, ResultCode::Ok, false, false },
    { "503 without proof", { .stage = AttemptStage::Answered, .status = 503 }, Outcome::Answered, ResultCode::Ok, false, false },
    { "503 with proof", { .stage = AttemptStage::Answered, .status = 503, .provenNotRun = true }, Outcome::NotRun, ResultCode::ServerShed, true, true },
};

}

TEST_CASE("the outcome of every point of failure")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        CHECK(Decisions::attemptOutcome(row.end) == row.outcome);
        CHECK(Decisions::attemptCode(row.end) == row.code);
        CHECK(Decisions::mayTryAgain(row.end, true) == row.againIfIdempotent);
        CHECK(Decisions::mayTryAgain(row.end, false) == row.againIfNever);
        // A code tells the caller the same as the outcome does.
        CHECK(Common::resultRow(row.code).outcome == row.outcome);
    }
}
