#include "Bench/DeepCalls.h"

#include <algorithm>

#include <fmt/format.h>

#include "Bench/HttpText.h"

namespace Bench {

namespace {

    constexpr std::string_view deepPrefix = "/deep/";
    constexpr int unavailable = 503;

}

void DeepCalls::setEntries(std::vector<std::string> entries)
{
    std::lock_guard lock(m_mutex);
    m_entries = std::move(entries);
}

CallOn DeepCalls::hook(const std::string& service)
{
    return [this, service](EventLoop& loop, const BackendCall& call, const std::function<void(int)>& done) { callOn(loop, service, call, done); };
}

void DeepCalls::clear()
{
    std::lock_guard lock(m_mutex);
    m_clients.clear();
}

void DeepCalls::callOn(EventLoop& loop, const std::string& service, const BackendCall& call, const std::function<void(int)>& done)
{
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0)
        return done(unavailable);
    auto depth = toInteger(std::string_view(call.path).substr(deepPrefix.size()));
    auto headers = fmt::format("Idempotency-Key: {}/{}\r\nCowslipledge-Deadline-Ms: {}\r\nCowslipledge-Retry: {}\r\n", call.id, depth - 1, left.count(), call.retry);
    std::string address;
    HttpClient* client = nullptr;
    {
        std::lock_guard lock(m_mutex);
        if (m_entries.empty())
            return done(unavailable);
        address = m_entries[m_next++ % m_entries.size()];
        auto& slot = m_clients[&loop];
        if (!slot)
            slot = std::make_unique<HttpClient>(loop);
        client = slot.get();
    }
    client->send({
        .address = address,
        .text = requestText("GET", fmt::format("/services/{}/deep/{}", service, depth - 1), headers, ""),
        .timeout = left,
        .done = [done](const ClientAnswer& answer) { done(answer.end == ClientEnd::Answered ? answer.status : unavailable); },
    });
}

}
