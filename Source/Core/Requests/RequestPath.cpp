#include "Requests/RequestPath.h"

#include <algorithm>

#include "Requests/AdmissionFilter.h"
#include "Requests/AnswerFilters.h"
#include "Requests/AttemptFilter.h"
#include "Requests/AttemptRunner.h"
#include "Requests/ClaimFilter.h"
#include "Requests/DuplicateFilter.h"
#include "Requests/ParseFilter.h"

namespace Requests {

namespace {

    // This entry's part of a service's slots.
    int slotsOf(const std::string& service, const Controllers::RecordController& records, const Controllers::BackendServers& servers, int carriers)
    {
        auto current = records.current();
        auto it = current->services.find(service);
        if (it == current->services.end())
            return 1;
        auto views = servers.view(service);
        auto working = std::count_if(views.begin(), views.end(), [](const auto& server) { return server.eligible; });
        return std::max(1, static_cast<int>(working) * it->second->slots / std::max(carriers, 1));
    }

    ServiceStateOptions stateOptions(const RequestPathOptions& options, const Controllers::RecordController& records, const Controllers::BackendServers& servers)
    {
        auto states = options.states;
        states.slots = [&records, &servers, share = options.share](const std::string& service) { return slotsOf(service, records, servers, share(service).carriers); };
        return states;
    }

}

RequestPath::RequestPath(const RequestPathOptions& options, const Controllers::RecordController& records, Controllers::BackendServers& servers, const Platform::Table& table, Common::EventLog& log)
    : m_states(stateOptions(options, records, servers))
    , m_chain({
          timelineFilter(log, m_stats),
          parseFilter({ .hooks = options.hooks, .defaultDeadline = options.defaultDeadline }, records),
          // Before admission: a duplicate costs no backend server anything.
          duplicateFilter({ .hooks = options.hooks }, m_stats, log),
          admissionFilter(options.hooks, m_states, m_stats),
          claimFilter({ .hooks = options.hooks, .sleep = {} }, table, m_stats, log),
          attemptFilter({ .hooks = options.hooks }, socketAttempts({ .hooks = options.hooks }, servers, log), m_states, m_stats),
      })
{
}

}
