#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Decisions/Admission.h"
#include "Decisions/Hedging.h"
#include "Decisions/Retry.h"

namespace Requests {

struct ServiceStateOptions {
    Decisions::RetryBudgetOptions retry = {};
    Decisions::HedgingOptions hedging = {};
    Decisions::AdmissionOptions admission = {};
    // This entry's part of the slots of all backend servers of a service.
    std::function<int(const std::string& service)> slots = [](const std::string&) { return 1; };
    Common::Duration slotsAge = std::chrono::milliseconds(100); // the number is asked for again after it
};

// What one entry has learned of one service's calls; its mutex guards all of it.
struct ServiceState {
    explicit ServiceState(const ServiceStateOptions& options)
        : retry(options.retry)
        , hedging(options.hedging)
        , admission(options.admission)
    {
    }

    std::mutex mutex;
    Decisions::RetryBudget retry;
    Decisions::Hedging hedging;
    Decisions::Admission admission;
    int slots = 1;
    Common::TimePoint slotsAskedAt = Common::TimePoint::min();
};

// The states of all services that got calls, in shards. Thread-safe.
class ServiceStates {
public:
    explicit ServiceStates(ServiceStateOptions options = {})
        : m_options(std::move(options))
    {
    }

    std::shared_ptr<ServiceState> of(const std::string& service);
    // Takes the number of slots anew where it is too old. The state must not be locked.
    void refreshSlots(const std::string& service, ServiceState&, Common::TimePoint now) const;

private:
    struct Shard {
        std::mutex mutex;
        std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> states;
    };
    static constexpr std::size_t shardCount = 16;

    ServiceStateOptions m_options;
    std::array<Shard, shardCount> m_shards;
};

}
