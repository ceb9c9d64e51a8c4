#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <optional>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "Common/LatencySummary.h"
#include "Entry/AnswerWriter.h"
#include "Entry/ConnectionRegistry.h"
#include "Requests/FilterChain.h"
#include "Settings/EntrySettings.h"

namespace Entry {

// Calls by how they ended. Thread-safe.
struct CallCounters {
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> notRun { 0 };
    std::atomic<std::uint64_t> unknown { 0 };
    std::atomic<std::uint64_t> pages { 0 }; // the entry's own
    std::atomic<std::uint64_t> malformed { 0 }; // refused before the filter chain
    std::atomic<std::uint64_t> refusedConnections { 0 };
};

// What all caller connections of one entry share; it outlives them.
struct CallerContext {
    CallerContext(const Settings::CallerLimits& callerLimits, Common::Hooks callerHooks, const Requests::FilterChain& filters)
        : limits(callerLimits)
        , hooks(std::move(callerHooks))
        , chain(filters)
    {
    }

    Settings::CallerLimits limits;
    Common::Hooks hooks;
    const Requests::FilterChain& chain;
    // A page for a request; nothing where it is for a service.
    std::function<std::optional<Page>(const std::string& method, const std::string& target)> page;
    std::atomic<bool> closing { false }; // answers carry Connection: close
    std::atomic<int> inFlight { 0 }; // requests from their first byte to their answer's last
    ConnectionRegistry connections;
    CallCounters counters;
    Common::LatencySummary ownTimes; // wall time in the entry, of calls answered at the first attempt
    Common::LatencySummary ownCpuTimes; // processor time of a sample of the same calls
};

// Makes connections that serve callers, a thread each.
Poco::Net::TCPServerConnectionFactory::Ptr callerConnectionFactory(CallerContext&, Poco::Net::HTTPServerParams::Ptr);

}
