#include "Soak/OddAnswers.h"

#include <array>

#include "Net/HttpMessage.h"

namespace Soak {

namespace {

    constexpr std::size_t minUploadBytes = 100'000;
    constexpr std::string_view startOfStatusLine = "HTTP/1.1 ";
    constexpr std::size_t statusBytes = 3;
    // The body of each answer of a stand-in server, but not of those to load probes.
    constexpr std::string_view startOfBody = "\r\n\r\nanswer to ";

    constexpr std::array oddStatuses { "000", "099", "600" };
    // Put before the fields of an answer that has a length.
    constexpr std::array oddFields { "X Odd: 1\r\n", "X\x01Odd: 1\r\n", "X(Odd): 1\r\n", "Transfer-Encoding: chunked\r\n" };

    // A gateway answers a short part as one response, and passes on a long one while it arrives.
    constexpr std::array<std::size_t, 2> partBytes { 1000, 100'000 };

}

OddAnswers::OddAnswers(std::uint64_t seed)
    : m_random(seed)
{
}

std::optional<std::string> OddAnswers::earlyAnswer(std::string_view requestBytes)
{
    auto size = Net::headSize(requestBytes);
    auto request = size ? Net::parseRequestHead(requestBytes.substr(0, *size)).head : std::nullopt;
    if (!request || request->framing != Net::Framing::Length || request->length < minUploadBytes)
        return std::nullopt;
    ++m_earlyAnswers;
    return "HTTP/1.1 200 OK\r\n\r\n" + std::string(partBytes[below(partBytes.size())], 'x');
}

std::string OddAnswers::spoil(std::string answerBytes)
{
    auto lineEnd = answerBytes.find("\r\n");
    if (!answerBytes.starts_with(startOfStatusLine) || answerBytes.find(startOfBody) == std::string::npos)
        return answerBytes;
    // Three forms of status, four of fields, and as many answers that stay as they are.
    auto form = below(2 * (oddStatuses.size() + oddFields.size()));
    if (form < oddStatuses.size())
        answerBytes.replace(startOfStatusLine.size(), statusBytes, oddStatuses[form]);
    else if (form < oddStatuses.size() + oddFields.size())
        answerBytes.insert(lineEnd + 2, oddFields[form - oddStatuses.size()]);
    else
        return answerBytes;
    ++m_spoiledHeads;
    return answerBytes;
}

}
