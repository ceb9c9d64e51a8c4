#include "Common/Result.h"

#include <algorithm>
#include <array>

#include "Common/NameTable.h"

namespace Common {

namespace {

    using enum ResultCode;

    constexpr std::array resultRows {
        ResultRow { Ok, "ok", 200, Outcome::Answered, "The backend server's whole answer follows." },
        ResultRow { BadRequest, "bad-request", 400, Outcome::NotRun, "The request is not valid HTTP/1.1." },
        ResultRow { HeadTooLarge, "head-too-large", 431, Outcome::NotRun, "Request line and headers exceed the limit." },
        ResultRow { BodyTooLarge, "body-too-large", 413, Outcome::NotRun, "The body exceeds the limit." },
        ResultRow { UnknownPath, "unknown-path", 404, Outcome::NotRun, "The path is none of the entry's own and names no service." },
        ResultRow { UnknownService, "unknown-service", 404, Outcome::NotRun, "No record in force describes this service." },
        ResultRow { MethodNotAllowed, "method-not-allowed", 405, Outcome::NotRun, "The path does not take this method." },
        ResultRow { BadHeader, "bad-header", 400, Outcome::NotRun, "A Cowslipledge header or the Idempotency-Key has an invalid value." },
        ResultRow { RequestTimeout, "request-timeout", 408, Outcome::NotRun, "The request was not received whole in time." },
        ResultRow { DeadlineExpired, "deadline-expired", 504, Outcome::NotRun, "The deadline passed before the request was sent to a backend server." },
        ResultRow { NoServer, "no-server", 503, Outcome::NotRun, "No backend server of the service can take work." },
        ResultRow { Overloaded, "overloaded", 503, Outcome::NotRun, "The wait for a backend server would outlast the deadline or the queue's limit." },
        ResultRow { ConnectFailed, "connect-failed", 503, Outcome::NotRun, "No connection to a backend server could be opened." },
        ResultRow { ServerShed, "server-shed", 503, Outcome::NotRun, "The backend servers tried refused the request, with proof that it did not run." },
        ResultRow { ShuttingDown, "shutting-down", 503, Outcome::NotRun, "The entry is shutting down." },
        ResultRow { DuplicateInFlight, "duplicate-in-flight", 409, Outcome::Unknown, "A request with this Idempotency-Key is in flight or was sent before; its outcome belongs to the first." },
        ResultRow { DuplicateClaimed, "duplicate-claimed", 409, Outcome::Unknown, "A request with this Idempotency-Key was claimed through another entry or earlier; it is not sent again." },
        ResultRow { StoreUnavailable, "store-unavailable", 503, Outcome::NotRun, "The platform's store did not take the claim; nothing was sent." },
        ResultRow { NotCarried, "not-carried", 503, Outcome::NotRun, "This entry does not understand the record of the service." },
        ResultRow { AnswerLost, "answer-lost", 504, Outcome::Unknown, "The connection broke after the request was sent." },
        ResultRow { AnswerTimeout, "answer-timeout", 504, Outcome::Unknown, "No answer before the deadline after the request was sent." },
        ResultRow { AnswerCut, "answer-cut", 504, Outcome::Unknown, "The answer ended before its stated length." },
        ResultRow { AnswerTooLarge, "answer-too-large", 504, Outcome::Unknown, "The answer exceeds the entry's limit." },
        ResultRow { ClaimUnsettled, "claim-unsettled", 504, Outcome::Unknown, "A claim may stand in the store and could not be settled in time; no backend server ran the request through this entry, but a resend may be refused." },
        ResultRow { SettingsInvalid, "settings-invalid", 0, Outcome::NotRun, "The settings file has errors." },
        ResultRow { RecordInvalid, "record-invalid", 0, Outcome::NotRun, "The record file has errors." },
        ResultRow { UsageError, "usage-error", 0, Outcome::NotRun, "The command line is not valid." },
        ResultRow { RecordConflict, "record-conflict", 0, Outcome::NotRun, "Another operator changed the record first." },
        ResultRow { RecordNotFound, "record-not-found", 0, Outcome::NotRun, "No record of that name is in force." },
        ResultRow { RecordUnsettled, "record-unsettled", 0, Outcome::Unknown, "The answer to a write was lost and could not be settled by reading back." },
        ResultRow { WaitTimeout, "wait-timeout", 0, Outcome::Unknown, "The revision was not in force on every live entry in time." },
        ResultRow { PeerUnreachable, "peer-unreachable", 0, Outcome::Unknown, "Another entry did not answer." },
        ResultRow { PeerRefused, "peer-refused", 403, Outcome::NotRun, "The message is not signed with the shared key, or is a replay." },
        ResultRow { StoreProtocol, "store-protocol", 0, Outcome::Unknown, "The platform's answer violates its protocol." },
        ResultRow { Internal, "internal", 500, Outcome::Unknown, "A defect in the entry." },
    };

    constexpr std::array outcomeNames {
        EnumName<Outcome> { Outcome::Answered, "answered" },
        EnumName<Outcome> { Outcome::NotRun, "not-run" },
        EnumName<Outcome> { Outcome::Unknown, "unknown" },
    };

}

std::span<const ResultRow> resultTable()
{
    return resultRows;
}

const ResultRow& resultRow(ResultCode code)
{
    auto it = std::find_if(resultRows.begin(), resultRows.end(), [&](const auto& row) { return row.code == code; });
    return it == resultRows.end() ? resultRows.back() : *it;
}

std::string_view outcomeName(Outcome outcome)
{
    return nameOf(outcomeNames, outcome);
}

}
