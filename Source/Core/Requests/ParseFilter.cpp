#include "Requests/ParseFilter.h"

#include <charconv>

#include <fmt/format.h>

namespace Requests {

namespace {

    using Common::ResultCode;

    constexpr std::string_view servicesPrefix = "/services/";
    constexpr std::size_t maxIdLength = 128;
    constexpr int maxDeadlineMs = 3'600'000;

    // Splits "/services/S/path" into service and path; false when the target has another shape.
    bool splitTarget(Call& call)
    {
        if (!call.target.starts_with(servicesPrefix))
            return false;
        auto rest = std::string_view(call.target).substr(servicesPrefix.size());
        auto end = rest.find_first_of("/?");
        call.service = rest.substr(0, end);
        if (call.service.empty())
            return false;
        call.servicePath = end == std::string_view::npos ? "/" : std::string(rest.substr(end));
        if (call.servicePath.starts_with('?'))
            call.servicePath.insert(0, "/");
        return true;
    }

    // A header's integer in [0, high]; `fallback` when absent, nothing when malformed.
    std::optional<int> integerHeader(const Call& call, std::string_view name, int high, int fallback)
    {
        auto text = headerOf(call.headers, name);
        if (text.empty())
            return fallback;
        int value = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc() || end != text.data() + text.size() || value < 0 || value > high)
            return std::nullopt;
        return value;
    }

    bool isId(std::string_view text)
    {
        auto printable = [](char c) { return c > ' ' && c < '\x7f'; };
        return !text.empty() && text.size() <= maxIdLength && std::all_of(text.begin(), text.end(), printable);
    }

    // Reads id, repeat rule, retry depth and deadline; false after a failure has been set.
    bool readHeaders(Call& call, const ParseOptions& options)
    {
        call.id = headerOf(call.headers, "Idempotency-Key");
        call.idGiven = !call.id.empty();
        if (!call.idGiven)
            call.id = fmt::format("{:016x}{:016x}", options.hooks.random(), options.hooks.random());
        if (!isId(call.id)) {
            fail(call, ResultCode::BadHeader, "Idempotency-Key: expected 1 to 128 printable characters without spaces");
            return false;
        }
        auto repeat = headerOf(call.headers, "Cowslipledge-Repeat");
        if (!repeat.empty() && !Common::valueOf(Records::repeatNames, repeat)) {
            fail(call, ResultCode::BadHeader, "Cowslipledge-Repeat: expected safe or never");
            return false;
        }
        // The header may only tighten the rule: "safe" from a caller changes nothing.
        if (repeat == "never")
            call.rule.repeat = Records::Repeat::Never;
        constexpr int maxRetries = 1000;
        auto retries = integerHeader(call, "Cowslipledge-Retry", maxRetries, 0);
        if (!retries) {
            fail(call, ResultCode::BadHeader, "Cowslipledge-Retry: expected 0 to 1000");
            return false;
        }
        call.outerRetries = *retries;
        auto defaultMs = call.rule.deadlineMs > 0 ? call.rule.deadlineMs : static_cast<int>(Common::toMilliseconds(options.defaultDeadline));
        auto deadlineMs = integerHeader(call, "Cowslipledge-Deadline-Ms", maxDeadlineMs, defaultMs);
        if (!deadlineMs) {
            fail(call, ResultCode::BadHeader, "Cowslipledge-Deadline-Ms: expected 0 to 3600000");
            return false;
        }
        call.deadline = call.received + std::chrono::milliseconds(*deadlineMs);
        return true;
    }

}

Filter parseFilter(ParseOptions options, const Controllers::RecordController& records)
{
    return [options = std::move(options), &records](Call& call, const Next& next) {
        if (!splitTarget(call))
            return fail(call, ResultCode::UnknownPath, "expected /services/SERVICE/PATH");
        auto current = records.current();
        auto it = current->services.find(call.service);
        if (it == current->services.end())
            return fail(call, ResultCode::UnknownService, "no record in force describes service " + call.service);
        call.record = it->second;
        call.rule = Records::ruleFor(*call.record, call.method, call.servicePath);
        if (!readHeaders(call, options))
            return;
        if (options.hooks.now() >= call.deadline)
            return fail(call, ResultCode::DeadlineExpired, "the deadline had passed on arrival");
        next(call);
    };
}

}
