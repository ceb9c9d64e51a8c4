#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "Decisions/TokenBucket.h"
#include "Gateway/Catalog.h"
#include "Gateway/Members.h"
#include "Gateway/RelayMessages.h"
#include "Net/HttpServer.h"

namespace Gateway {

struct RelayServerOptions {
    std::function<bool()> isRelay; // whether this gateway is a relay now
    std::function<RelayList()> relayList;
    std::function<void(const RelayList&)> onRelayList; // called with the relay list of every request
    double capacity = 1; // processor share of this gateway
};

// Answers other gateways' long-poll requests for updates: at once if there is an update, else when one arrives or the wait ends.
class RelayServer {
public:
    RelayServer(Net::EventLoop&, Catalog&, Members&, Decisions::CrashSuspects&, Decisions::FleetAllowance&, RelayServerOptions);

    void serve(const std::shared_ptr<Net::Exchange>&);
    // Schedule responses to the requests held open.
    void onCatalogChanged();
    void onMembersChanged();
    void onCrashesChanged();
    void onAllowancesChanged();
    // Answers all requests held open at once, so that their senders can turn to another relay.
    void answerAll();

private:
    struct PendingRequest {
        std::shared_ptr<Net::Exchange> exchange;
        UpdateRequest request;
        Common::TimePoint receivedAt; // boot time
        Net::EventLoop::TimerId timer = 0;
    };
    using PendingIterator = std::list<PendingRequest>::iterator;
    // Most requests come from the position before the last change, so encoded rows are shared between responses.
    struct CachedRows {
        CatalogPosition from;
        CatalogPosition to;
        EncodedRows rows;
    };

    // `receivedAt`: boot time at which the request was read.
    void answer(const std::shared_ptr<Net::Exchange>&, const UpdateRequest&, Common::TimePoint receivedAt);
    void answerPending(PendingIterator);
    void answerOutdated();
    const EncodedRows& rowsSince(const CatalogPosition& from, const CatalogUpdate&);
    bool hasUpdateFor(const UpdateRequest&) const;
    // Whether the sender holds a member list of this process.
    bool hasOurList(const UpdateRequest&) const;
    void scheduleAnswers(Common::Duration);

    Net::EventLoop& m_loop;
    Catalog& m_catalog;
    Members& m_members;
    Decisions::CrashSuspects& m_crashSuspects;
    Decisions::FleetAllowance& m_allowances;
    RelayServerOptions m_options;
    std::list<PendingRequest> m_pending;
    std::deque<CachedRows> m_cachedRows; // newest first
    Decisions::TokenBucket m_fullUpdates;
    Net::EventLoop::TimerId m_batchTimer = 0;
    Common::TimePoint m_batchAt; // when the timer fires
};

}
