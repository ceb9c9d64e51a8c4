#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "Decisions/TokenBucket.h"
#include "Gateway/Catalog.h"
#include "Gateway/Members.h"
#include "Gateway/News.h"
#include "Net/HttpServer.h"

namespace Gateway {

struct RelayServerOptions {
    std::function<bool()> relays; // whether this entry relays now
    std::function<Roster()> roster;
    std::function<void(const Roster&)> onRoster; // with the roster of every request
    double capacity = 1; // of this entry, in processors
};

// Answers other entries' requests for news: at once where there is some, else when it comes or their wait is over.
class RelayServer {
public:
    RelayServer(Net::EventLoop&, Catalog&, Members&, RelayServerOptions);

    void serve(const std::shared_ptr<Net::Exchange>&);
    // News for those who wait.
    void onCatalogNews();
    void onMembersChanged();
    // Answers all who wait, so that they can turn to another relay.
    void dismiss();

private:
    struct Waiting {
        std::shared_ptr<Net::Exchange> exchange;
        NewsRequest request;
        Net::EventLoop::TimerId timer = 0;
    };
    using Place = std::list<Waiting>::iterator;
    // Most ask from the position of the last change: its rows are made once.
    struct CachedRows {
        CatalogPosition from;
        CatalogPosition to;
        EncodedRows rows;
    };

    void answer(const std::shared_ptr<Net::Exchange>&, const NewsRequest&);
    void answerWaiting(Place);
    void answerAll();
    const EncodedRows& rowsSince(const CatalogPosition& from, const CatalogUpdate&);
    bool hasNewsFor(const NewsRequest&) const;
    void answerSoon(Common::Duration);

    Net::EventLoop& m_loop;
    Catalog& m_catalog;
    Members& m_members;
    RelayServerOptions m_options;
    std::list<Waiting> m_waiting;
    std::deque<CachedRows> m_cachedRows;
    Decisions::TokenBucket m_wholeAnswers;
    Net::EventLoop::TimerId m_batchTimer = 0;
    Common::TimePoint m_batchAt;
};

}
