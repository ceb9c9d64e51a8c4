#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Backends/BackendSession.h"
#include "Common/Clock.h"
#include "Common/Result.h"
#include "Records/ServiceRecord.h"

namespace Requests {

// One caller's request on its way through the filter chain, and its answer.
struct Call {
    // As received.
    std::string method;
    std::string target; // path and query
    std::vector<Backends::Header> headers;
    std::string body;
    Common::TimePoint received;
    int callerSocket = -1; // watched for the caller's leaving while a backend server works; -1: nothing to watch

    // Filled by filters.
    std::string service;
    std::string servicePath; // path and query below the service
    std::string id; // Idempotency-Key, made if absent
    bool idGiven = false;
    Common::TimePoint deadline;
    int outerRetries = 0; // Cowslipledge-Retry: above 0 no retry or hedge here
    Records::Rule rule;
    std::shared_ptr<const Records::ServiceRecord> record;
    std::function<bool()> mayCancel; // whether the attempt may end when the caller has gone; empty: yes

    // The answer.
    Common::ResultCode code = Common::ResultCode::Internal;
    Common::Outcome outcome = Common::Outcome::Unknown;
    std::string errorText; // where code is not Ok
    int retryAfterMs = 0; // 0: none
    int attempts = 0;
    int sends = 0; // attempts of which a byte left
    bool mayHaveRun = false; // an attempt ended unknown
    Backends::BackendAnswer answer;

    // Marks for the entry's own time: from received to firstSent, and from answerRead to the last byte sent back.
    Common::TimePoint firstSent;
    Common::TimePoint answerRead;
};

// Case-insensitive look-up; empty when absent.
std::string headerOf(const std::vector<Backends::Header>&, std::string_view name);

// Ends the call with a numbered error.
void fail(Call&, Common::ResultCode, std::string text);

}
