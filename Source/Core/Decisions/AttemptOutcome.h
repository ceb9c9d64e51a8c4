#pragma once

#include <optional>

#include "Common/Result.h"

namespace Decisions {

// How far an attempt got before it ended.
enum class AttemptStage {
    BeforeConnect, // no connection was had
    Connecting, // the connection could not be opened
    BeforeSend, // connected, no byte handed to the kernel
    PartlySent, // some bytes handed over
    Sent, // all bytes handed over, no byte of an answer
    PartlyAnswered, // an answer began and did not end
    Answered, // a whole answer
};

// Why an attempt ended without a whole answer.
enum class AttemptFault {
    None,
    Refused, // the connection was refused or could not be opened
    Closed, // the peer closed or reset the connection
    TimedOut,
    CutShort, // the body ended before its stated length
    TooLarge,
    Malformed, // not HTTP
    Cancelled, // the caller has gone, or another attempt won
};

struct AttemptEnd {
    AttemptStage stage = AttemptStage::BeforeConnect;
    AttemptFault fault = AttemptFault::None;
    int status = 0; // of a whole answer
    bool provenNotRun = false; // the server's own word: Cowslipledge-Not-Run
};

// What may be said of one attempt: NotRun only where no byte left or the server said so.
Common::Outcome attemptOutcome(const AttemptEnd&);

// The code a caller gets when this attempt was the last.
Common::ResultCode attemptCode(const AttemptEnd&);

// Whether the request may be sent again elsewhere: always on proof that it did not run, otherwise only when idempotent
// and the server did not answer.
bool mayTryAgain(const AttemptEnd&, bool idempotent);

}
