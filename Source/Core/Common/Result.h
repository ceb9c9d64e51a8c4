#pragma once

#include <span>
#include <string>
#include <string_view>

#include <boost/outcome.hpp>

namespace Common {

// What a caller may conclude about the execution of its request.
enum class Outcome {
    Answered, // the backend server's own answer is returned
    NotRun, // no backend server ran the request or will run it: safe to retry
    Unknown, // a backend server may have run the request
};

// Numbered result codes. docs/RESULT-CODES.md is generated from the table; a test compares both.
enum class ResultCode : int {
    Ok = 0,
    BadRequest = 100,
    HeadTooLarge = 101,
    BodyTooLarge = 102,
    UnknownPath = 103,
    UnknownService = 104,
    MethodNotAllowed = 105,
    BadHeader = 106,
    RequestTimeout = 107,
    DeadlineExpired = 200,
    NoServer = 201,
    Overloaded = 202,
    ConnectFailed = 203,
    ServerShed = 204,
    ShuttingDown = 205,
    DuplicateInFlight = 206,
    DuplicateClaimed = 207,
    StoreUnavailable = 208,
    NotCarried = 209,
    AnswerLost = 300,
    AnswerTimeout = 301,
    AnswerCut = 302,
    AnswerTooLarge = 303,
    ClaimUnsettled = 304,
    SettingsInvalid = 400,
    RecordInvalid = 401,
    UsageError = 402,
    RecordConflict = 403,
    RecordNotFound = 404,
    RecordUnsettled = 405,
    WaitTimeout = 406,
    PeerUnreachable = 407,
    PeerRefused = 408,
    StoreProtocol = 500,
    Internal = 501,
};

struct ResultRow {
    ResultCode code;
    std::string_view name;
    int httpStatus; // 0 if the code is never sent to a caller
    Outcome outcome; // meaningful only if httpStatus is set
    std::string_view meaning;
};

// All codes in ascending order.
std::span<const ResultRow> resultTable();
const ResultRow& resultRow(ResultCode);

// "answered", "not-run", "unknown".
std::string_view outcomeName(Outcome);

struct Error {
    ResultCode code = ResultCode::Internal;
    std::string text;
};

// A value or an error with a result code. Accessing the one that is not set terminates the program.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

}
