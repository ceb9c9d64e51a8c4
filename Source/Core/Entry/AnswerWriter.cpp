#include "Entry/AnswerWriter.h"

#include <algorithm>
#include <array>

#include <Poco/String.h>
#include <fmt/format.h>
#include <json/json.h>

#include "Common/JsonText.h"

namespace Entry {

namespace {

    using Common::ResultCode;
    using Poco::Net::HTTPResponse;
    using Poco::Net::HTTPServerResponseImpl;
    using Requests::Call;

    constexpr int msPerSecond = 1000;

    // Whole seconds, as the header has them, rounded up.
    std::string retryAfterText(int ms)
    {
        return std::to_string((ms + msPerSecond - 1) / msPerSecond);
    }

    bool isForwarded(const std::string& name)
    {
        static const std::array hopHeaders { "connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade" };
        return std::none_of(hopHeaders.begin(), hopHeaders.end(), [&](const char* hop) { return Poco::icompare(name, hop) == 0; });
    }

    void setStatus(HTTPServerResponseImpl& response, int status)
    {
        response.setStatus(static_cast<HTTPResponse::HTTPStatus>(status));
        response.setReason(HTTPResponse::getReasonForStatus(response.getStatus()));
    }

}

Page errorPage(ResultCode code, const std::string& text)
{
    Json::Value json;
    json["code"] = static_cast<int>(code);
    json["name"] = std::string(Common::resultRow(code).name);
    json["text"] = text;
    return { .status = Common::resultRow(code).httpStatus, .body = Common::jsonText(json) };
}

void sendPage(HTTPServerResponseImpl& response, const Page& page)
{
    setStatus(response, page.status);
    response.setContentType(page.contentType);
    response.sendBuffer(page.body.data(), page.body.size());
}

void sendAnswer(HTTPServerResponseImpl& response, const Call& call)
{
    response.set("Cowslipledge-Outcome", std::string(Common::outcomeName(call.outcome)));
    response.set("Cowslipledge-Result", std::to_string(static_cast<int>(call.code)));
    response.set("Cowslipledge-Attempts", std::to_string(call.attempts));
    if (!call.id.empty())
        response.set("Cowslipledge-Request", call.id);
    if (call.code != ResultCode::Ok) {
        if (call.retryAfterMs > 0)
            response.set("Retry-After", retryAfterText(call.retryAfterMs));
        sendPage(response, errorPage(call.code, call.errorText));
        return;
    }
    setStatus(response, call.answer.status);
    for (const auto& [name, value] : call.answer.headers) {
        if (isForwarded(name))
            response.add(name, value);
    }
    response.sendBuffer(call.answer.body.data(), call.answer.body.size());
}

std::string refusalText(ResultCode code, int retryAfterMs)
{
    const auto& row = Common::resultRow(code);
    auto body = errorPage(code, std::string(row.meaning)).body;
    auto status = static_cast<HTTPResponse::HTTPStatus>(row.httpStatus);
    return fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\nRetry-After: {}\r\n"
                       "Cowslipledge-Outcome: {}\r\nCowslipledge-Result: {}\r\nCowslipledge-Attempts: 0\r\n\r\n{}",
        row.httpStatus, HTTPResponse::getReasonForStatus(status), body.size(), retryAfterText(retryAfterMs), Common::outcomeName(row.outcome), static_cast<int>(code), body);
}

}
