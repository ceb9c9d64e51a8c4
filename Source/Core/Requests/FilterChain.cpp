#include "Requests/FilterChain.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

namespace Requests {

std::string headerOf(const std::vector<Backends::Header>& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (Poco::icompare(key, std::string(name)) == 0)
            return value;
    }
    return {};
}

void fail(Call& call, Common::ResultCode code, std::string text)
{
    constexpr int defaultRetryAfterMs = 1000;
    const auto& row = Common::resultRow(code);
    call.code = code;
    call.outcome = row.outcome;
    if (row.httpStatus == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE && call.retryAfterMs == 0)
        call.retryAfterMs = defaultRetryAfterMs;
    call.errorText = std::move(text);
    call.answer = {};
}

void Next::operator()(Call& call) const
{
    if (m_index < m_filters.size())
        m_filters[m_index](call, Next(m_filters, m_index + 1));
}

void FilterChain::run(Call& call) const
{
    Next(m_filters, 0)(call);
}

}
