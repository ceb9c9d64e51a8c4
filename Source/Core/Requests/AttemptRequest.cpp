#include "Requests/AttemptRequest.h"

#include <algorithm>
#include <array>

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <fmt/format.h>

namespace Requests {

namespace {

    // Headers that belong to one connection or are set anew for the backend server.
    bool isForwarded(const std::string& name)
    {
        static const std::array hopHeaders { "connection", "keep-alive", "transfer-encoding", "content-length", "te", "trailer", "upgrade", "proxy-connection", "expect",
            "host", "idempotency-key", "cowslipledge-deadline-ms", "cowslipledge-retry", "cowslipledge-repeat" };
        return std::none_of(hopHeaders.begin(), hopHeaders.end(), [&](const char* hop) { return Poco::icompare(name, hop) == 0; });
    }

    bool isNamedIn(const std::string& connection, const std::string& name)
    {
        Poco::StringTokenizer names(connection, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        return std::any_of(names.begin(), names.end(), [&](const std::string& it) { return Poco::icompare(it, name) == 0; });
    }

}

Backends::BackendRequest attemptRequest(const Call& call, Common::Duration timeLeft)
{
    Backends::BackendRequest request { .method = call.method, .target = call.servicePath, .headers = {}, .body = call.body };
    auto connection = headerOf(call.headers, "Connection");
    for (const auto& header : call.headers) {
        if (isForwarded(header.first) && (connection.empty() || !isNamedIn(connection, header.first)))
            request.headers.push_back(header);
    }
    request.headers.emplace_back("Idempotency-Key", call.id);
    request.headers.emplace_back("Cowslipledge-Deadline-Ms", fmt::format("{}", static_cast<std::int64_t>(Common::toMilliseconds(timeLeft))));
    request.headers.emplace_back("Cowslipledge-Retry", fmt::format("{}", call.outerRetries + call.sends));
    return request;
}

void removeOwnHeaders(std::vector<Backends::Header>& headers)
{
    constexpr std::string_view prefix = "cowslipledge-";
    std::erase_if(headers, [&](const Backends::Header& header) {
        return header.first.size() >= prefix.size() && Poco::icompare(header.first, 0, prefix.size(), prefix.data()) == 0;
    });
}

}
