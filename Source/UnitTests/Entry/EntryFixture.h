#pragma once

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include "Entry/Daemon.h"
#include "Records/RecordWrite.h"

#include "Fakes/FakeTable.h"

namespace EntryTests {

// One raw HTTP exchange's answer.
struct RawAnswer {
    int status = 0; // 0: closed without an answer
    std::string text; // head and body as received
};

// Sends bytes as they are and reads until the entry closes or `quietMs` pass without a byte.
inline RawAnswer sendRaw(Poco::Net::StreamSocket& socket, const std::string& bytes, int quietMs)
{
    RawAnswer answer;
    try {
        if (!bytes.empty())
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::array<char, 4096> buf {};
        while (socket.poll(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(quietMs) * Poco::Timespan::MILLISECONDS), Poco::Net::Socket::SELECT_READ)) {
            auto n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            if (n <= 0)
                break;
            answer.text.append(buf.data(), static_cast<std::size_t>(n));
        }
    } catch (const Poco::Exception&) {
        // A reset after the answer: what was read counts.
        return answer;
    }
    return answer;
}

// Status of an answer's first line; 0 without one.
inline int statusOf(const RawAnswer& answer)
{
    constexpr std::size_t statusAt = 9; // behind "HTTP/1.1 "
    constexpr std::size_t statusLength = 3;
    return answer.text.starts_with("HTTP/1.") ? std::stoi(answer.text.substr(statusAt, statusLength)) : 0;
}

// The platform's hooks without a network: one record and fixed instances; for use from several threads.
inline Platform::Services fixedPlatform(const std::string& recordText, const std::vector<Platform::Instance>& instances)
{
    struct Shared {
        std::mutex mutex;
        Fakes::FakeTable table;
    };
    auto shared = std::make_shared<Shared>();
    auto seeded = Records::writeRecord({ .hooks = Common::systemHooks() }, shared->table.table(), { .service = "s", .by = "test", .forms = { recordText } });
    REQUIRE(seeded.state == Records::WriteState::Applied);
    auto locked = [shared](auto member) {
        return [shared, member](const auto& argument) {
            std::lock_guard lock(shared->mutex);
            return (shared->table.table().*member)(argument);
        };
    };
    return {
        .table = {
            .get = locked(&Platform::Table::get),
            .scan = locked(&Platform::Table::scan),
            .commit = locked(&Platform::Table::commit),
        },
        .objects = {
            .get = [](const std::string&) -> Common::Result<std::optional<Platform::Object>> { return std::optional<Platform::Object>(); },
            .put = [](const std::string&, const std::string&, const std::string&) -> Common::Result<std::string> { return std::string("1"); },
        },
        .instances = [instances]() -> Common::Result<std::vector<Platform::Instance>> { return instances; },
    };
}

inline Settings::EntrySettings testSettings()
{
    return {
        .address = "127.0.0.1:0",
        .peerAddress = "127.0.0.1:0",
        .failureDomain = "a",
        .platformAddress = "127.0.0.1:0",
        .sharedKey = "0123456789abcdef",
        .logFormat = Common::LogFormat::Off,
        .limits = { .bodyBytes = 1000, .headTimeoutMs = 300 },
        .directoryTtlMs = 100,
        .shutdownLimitMs = 5000,
    };
}

// Waits for another thread; a wait in vain fails and does not hang.
inline void waitUntil(const std::function<bool()>& condition)
{
    constexpr int mostSteps = 20'000;
    int steps = 0;
    while (!condition()) {
        REQUIRE(++steps < mostSteps);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

inline Poco::Net::StreamSocket connectTo(const Entry::Daemon& daemon)
{
    return Poco::Net::StreamSocket(Poco::Net::SocketAddress(daemon.address()));
}

}
