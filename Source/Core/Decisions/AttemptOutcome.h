#pragma once

#include <optional>

#include "Common/Result.h"

namespace Decisions {

// The stage that an attempt had reached when it ended.
enum class AttemptStage {
    BeforeConnect, // no connection was available
    Connecting, // the connection could not be opened
    BeforeSend, // connected, no byte handed to the kernel
    PartlySent, // some bytes handed to the kernel
    Sent, // all bytes handed to the kernel, no byte of a response received
    PartlyAnswered, // incomplete response
    Answered, // complete response
};

// Why an attempt ended without a complete response.
enum class AttemptFault {
    None,
    Refused, // the connection was refused or could not be opened
    Closed, // the peer closed or reset the connection
    TimedOut,
    CutShort, // the body ended before its stated length
    TooLarge,
    Malformed, // not HTTP
    Cancelled, // the caller disconnected, or another attempt was answered first
};

struct AttemptEnd {
    AttemptStage stage = AttemptStage::BeforeConnect;
    AttemptFault fault = AttemptFault::None;
    int status = 0; // of a complete response
    bool provenNotRun = false; // the server said so: header Cowslipledge-Not-Run
};

// NotRun only if no byte of the request left, or the server said that it did not run it.
Common::Outcome attemptOutcome(const AttemptEnd&);

// The result code for the caller when this was the last attempt.
Common::ResultCode attemptCode(const AttemptEnd&);

// Whether the request may be retried on another server: always if it provably did not run, otherwise only if it is
// idempotent and got no complete response.
bool mayRetry(const AttemptEnd&, bool idempotent);

}
