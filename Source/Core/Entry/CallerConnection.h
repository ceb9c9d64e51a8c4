#pragma once

#include <atomic>
#include <functional>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "Common/LatencySummary.h"
#include "Requests/FilterChain.h"
#include "Settings/EntrySettings.h"

namespace Entry {

// A page that the entry serves itself, beside the services.
struct Page {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

// What all caller connections of one entry share; it outlives them.
struct CallerContext {
    Settings::CallerLimits limits;
    Common::Hooks hooks;
    const Requests::FilterChain& chain;
    std::function<std::optional<Page>(const std::string& method, const std::string& target)> page;
    std::atomic<bool> closing { false }; // answers carry Connection: close
    std::atomic<int> inFlight { 0 };
    Common::LatencySummary ownTimes; // of calls that reached a backend server
};

// Makes connections that serve callers, a thread each.
Poco::Net::TCPServerConnectionFactory::Ptr callerConnectionFactory(CallerContext&, Poco::Net::HTTPServerParams::Ptr);

}
