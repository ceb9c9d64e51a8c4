#include "Requests/AttemptFilter.h"

#include <algorithm>
#include <array>

#include <Poco/String.h>
#include <fmt/format.h>

#include "Requests/LoadHeaders.h"

namespace Requests {

namespace {

    using Common::ResultCode;
    using Decisions::AttemptEnd;
    using Decisions::AttemptStage;

    // Headers that belong to one connection or are set anew for the backend server.
    bool isForwarded(const std::string& name)
    {
        static const std::array hopHeaders { "connection", "keep-alive", "transfer-encoding", "content-length", "te", "trailer", "upgrade", "proxy-connection", "expect",
            "host", "idempotency-key", "cowslipledge-deadline-ms", "cowslipledge-retry", "cowslipledge-repeat" };
        return std::none_of(hopHeaders.begin(), hopHeaders.end(), [&](const char* hop) { return Poco::icompare(name, hop) == 0; });
    }

    Backends::BackendRequest requestFor(const Call& call, Common::Duration timeLeft)
    {
        Backends::BackendRequest request { .method = call.method, .target = call.servicePath, .headers = {}, .body = call.body };
        for (const auto& header : call.headers) {
            if (isForwarded(header.first))
                request.headers.push_back(header);
        }
        request.headers.emplace_back("Idempotency-Key", call.id);
        request.headers.emplace_back("Cowslipledge-Deadline-Ms", fmt::format("{}", static_cast<std::int64_t>(Common::toMilliseconds(timeLeft))));
        request.headers.emplace_back("Cowslipledge-Retry", fmt::format("{}", call.outerRetries + call.attempts - 1));
        return request;
    }

    // One attempt on one connection.
    AttemptEnd attempt(Call& call, Backends::ConnectionPool::Lease& lease, const AttemptOptions& options)
    {
        if (!lease.session)
            return { .stage = AttemptStage::BeforeConnect, .fault = Decisions::AttemptFault::Refused };
        auto now = options.hooks.now();
        if (now >= call.deadline)
            return { .stage = AttemptStage::BeforeConnect, .fault = Decisions::AttemptFault::TimedOut };
        if (!lease.kept) {
            auto end = lease.session->open(std::min<Common::Duration>(options.connectTimeout, call.deadline - now));
            if (end.stage != AttemptStage::BeforeSend)
                return end;
            now = options.hooks.now();
        }
        auto end = lease.session->send(requestFor(call, call.deadline - now), call.deadline - now);
        if (end.stage != AttemptStage::Sent)
            return end;
        if (call.firstSent == Common::TimePoint())
            call.firstSent = options.hooks.now();
        call.answer = {};
        return lease.session->receive(call.answer, call.deadline);
    }

    // Sets the call's outcome from its latest attempt. An attempt that may have run is not forgotten when a later one did not.
    void conclude(Call& call, const AttemptEnd& end)
    {
        auto outcome = Decisions::attemptOutcome(end);
        if (outcome == Common::Outcome::Answered) {
            call.code = ResultCode::Ok;
            call.outcome = outcome;
            call.errorText.clear();
            return;
        }
        if (call.mayHaveRun && outcome == Common::Outcome::NotRun)
            return;
        call.mayHaveRun = outcome == Common::Outcome::Unknown;
        auto code = Decisions::attemptCode(end);
        fail(call, code, std::string(Common::resultRow(code).meaning));
    }

}

Filter attemptFilter(AttemptOptions options, Controllers::BackendServers& servers, Common::EventLog& log)
{
    return [options = std::move(options), &servers, &log](Call& call, const Next&) {
        std::vector<std::string> tried;
        while (true) {
            auto hold = servers.begin(call.service, tried);
            if (!hold) {
                if (call.attempts == 0)
                    fail(call, hold.error().code, hold.error().text);
                return;
            }
            ++call.attempts;
            auto server = hold.value().ticket.address;
            auto end = attempt(call, hold.value().connection, options);
            call.answerRead = options.hooks.now();
            auto load = end.stage == AttemptStage::Answered ? loadReport(call.answer.headers) : std::nullopt;
            servers.end(call.service, std::move(hold).value(), { .end = end, .load = load });
            log.trace(Common::EventId::CallAttempt, { { "request", call.id }, { "service", call.service }, { "server", server }, { "status", std::to_string(end.status) } });
            conclude(call, end);
            tried.push_back(server);
            auto idempotent = call.rule.repeat == Records::Repeat::Safe;
            if (call.attempts >= options.maxAttempts || call.outerRetries > 0 || options.hooks.now() >= call.deadline || !Decisions::mayTryAgain(end, idempotent))
                return;
        }
    };
}

}
