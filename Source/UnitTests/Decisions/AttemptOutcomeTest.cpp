#include "Decisions/AttemptOutcome.h"

#include <doctest/doctest.h>

namespace {

using Common::Outcome;
using Common::ResultCode;
using Decisions::AttemptEnd;
using Decisions::AttemptFault;
using Decisions::AttemptStage;

struct Case {
    const char* name;
    AttemptEnd end;
    Outcome outcome;
    ResultCode code;
    bool mayRetryIdempotent;
    bool mayRetryNonIdempotent;
};

const Case cases[] = {
    { "no connection available", { .stage = AttemptStage::BeforeConnect, .fault = AttemptFault::Refused }, Outcome::NotRun, ResultCode::ConnectFailed, true, true },
    { "connection refused", { .stage = AttemptStage::Connecting, .fault = AttemptFault::Refused }, Outcome::NotRun, ResultCode::ConnectFailed, true, true },
    { "connect timed out", { .stage = AttemptStage::Connecting, .fault = AttemptFault::TimedOut }, Outcome::NotRun, ResultCode::DeadlineExpired, true, true },
    { "connection closed before send", { .stage = AttemptStage::BeforeSend, .fault = AttemptFault::Closed }, Outcome::NotRun, ResultCode::ConnectFailed, true, true },
    { "reset while sending", { .stage = AttemptStage::PartlySent, .fault = AttemptFault::Closed }, Outcome::Unknown, ResultCode::AnswerLost, true, false },
    { "reset after send", { .stage = AttemptStage::Sent, .fault = AttemptFault::Closed }, Outcome::Unknown, ResultCode::AnswerLost, true, false },
    { "no response after send", { .stage = AttemptStage::Sent, .fault = AttemptFault::TimedOut }, Outcome::Unknown, ResultCode::AnswerTimeout, true, false },
    { "response body truncated", { .stage = AttemptStage::PartlyAnswered, .fault = AttemptFault::CutShort }, Outcome::Unknown, ResultCode::AnswerCut, true, false },
    { "cancelled", { .stage = AttemptStage::Sent, .fault = AttemptFault::Cancelled }, Outcome::Unknown, ResultCode::AnswerLost, false, false },
    { "complete response", { .stage = AttemptStage::Answered, .status = 200 }, Outcome::Answered, ResultCode::Ok, false, false },
    { "503, may have run", { .stage = AttemptStage::Answered, .status = 503 }, Outcome::Answered, ResultCode::Ok, false, false },
    { "503, provably not run", { .stage = AttemptStage::Answered, .status = 503, .provenNotRun = true }, Outcome::NotRun, ResultCode::ServerShed, true, true },
};

}

TEST_CASE("outcome, result code and retry decision by stage and fault")
{
    for (const auto& row : cases) {
        CAPTURE(row.name);
        CHECK(Decisions::attemptOutcome(row.end) == row.outcome);
        CHECK(Decisions::attemptCode(row.end) == row.code);
        CHECK(Decisions::mayRetry(row.end, true) == row.mayRetryIdempotent);
        CHECK(Decisions::mayRetry(row.end, false) == row.mayRetryNonIdempotent);
        // The result code implies the same outcome.
        CHECK(Common::resultRow(row.code).outcome == row.outcome);
    }
}
