#include "Gateway/ForwardedRequest.h"

#include <charconv>

#include <fmt/format.h>

namespace Gateway {

namespace {

    constexpr int maxPriority = 1'000'000;
    constexpr int maxAttempts = 1000;
    constexpr int maxGoalMs = 86'400'000;
    // Of an unauthenticated request. Without the fields of other forwarded requests, which earlier versions require.
    constexpr std::string_view unauthenticatedPrefix = "unauthenticated;configuration=";

    std::optional<int> intValue(const std::string& query, const char* name, int low, int high)
    {
        auto text = Net::queryValue(query, name);
        int value = 0;
        auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        auto isValid = ec == std::errc() && rest == text.data() + text.size() && value >= low && value <= high;
        return isValid ? std::optional(value) : std::nullopt;
    }

}

std::string toHeaderValue(const ForwardedRequest& request)
{
    const auto& route = request.route;
    return fmt::format("?service={}&route={}&repeat={}&goal_ms={}&priority={}&attempts={}",
        Net::percentEncoded(request.service), Net::percentEncoded(route.name), Common::nameOf(Records::repeatNames, route.repeat),
        static_cast<long>(Common::toMilliseconds(route.goal)), route.priority, route.maxAttempts);
}

std::optional<ForwardedRequest> parseForwardedRequest(const std::string& text)
{
    auto goalMs = intValue(text, "goal_ms", 0, maxGoalMs);
    auto priority = intValue(text, "priority", 0, maxPriority);
    auto attempts = intValue(text, "attempts", 1, maxAttempts);
    auto repeat = Common::valueOf(Records::repeatNames, Net::queryValue(text, "repeat"));
    ForwardedRequest request { .route = {}, .service = Net::queryValue(text, "service") };
    if (!goalMs || !priority || !attempts || !repeat || request.service.empty())
        return std::nullopt;
    request.route.name = Net::queryValue(text, "route");
    request.route.repeat = *repeat;
    request.route.goal = std::chrono::milliseconds(*goalMs);
    request.route.priority = *priority;
    request.route.maxAttempts = *attempts;
    request.route.parts = { { .service = request.service } };
    return request;
}

std::string toHeaderValue(const UnauthenticatedRequest& request)
{
    return fmt::format("{}{}", unauthenticatedPrefix, request.configurationVersion);
}

std::optional<UnauthenticatedRequest> parseUnauthenticatedRequest(std::string_view text)
{
    if (!text.starts_with(unauthenticatedPrefix))
        return std::nullopt;
    text.remove_prefix(unauthenticatedPrefix.size());
    UnauthenticatedRequest request;
    auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), request.configurationVersion);
    auto isValid = ec == std::errc() && rest == text.data() + text.size();
    return isValid ? std::optional(request) : std::nullopt;
}

}
