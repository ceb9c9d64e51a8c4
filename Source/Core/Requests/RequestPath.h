#pragma once

#include "Common/EventLog.h"
#include "Controllers/BackendServers.h"
#include "Controllers/RecordController.h"
#include "Decisions/CarrierShare.h"
#include "Platform/Platform.h"
#include "Requests/CallStats.h"
#include "Requests/FilterChain.h"
#include "Requests/ServiceStates.h"

namespace Requests {

struct RequestPathOptions {
    Common::Hooks hooks;
    Common::Duration defaultDeadline = std::chrono::seconds(10);
    ServiceStateOptions states = {}; // its slots hook is set here
    std::function<Decisions::CarrierShare(const std::string& service)> share = [](const std::string&) { return Decisions::CarrierShare {}; };
};

// The whole request path of one entry: the filters in their order and what they share.
class RequestPath {
public:
    RequestPath(const RequestPathOptions&, const Controllers::RecordController&, Controllers::BackendServers&, const Platform::Table&, Common::EventLog&);
    RequestPath(const RequestPath&) = delete;
    RequestPath& operator=(const RequestPath&) = delete;

    const FilterChain& chain() const { return m_chain; }
    const CallStats& stats() const { return m_stats; }

private:
    CallStats m_stats;
    ServiceStates m_states;
    FilterChain m_chain;
};

}
