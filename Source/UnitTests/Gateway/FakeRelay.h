#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "Gateway/RelayMessages.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "platform/StandIn/Store.h"

namespace UnitTests {

// What a relay answers to requests for updates.
enum class RelayAnswer {
    Fresh, // nothing new, as of now
    AlmostOutdated, // nothing new, as of 950 ms ago
    Outdated, // nothing new, as of a minute ago
    NoRelay, // that it relays no data
};

// A relay of a fleet of `members` gateways that is named in the store's relay list. Must be used on the loop's thread.
class FakeRelay {
public:
    FakeRelay(Net::EventLoop& loop, PlatformStandIn::Store& store, int members)
        : m_loop(loop)
        , m_members(members)
        , m_server(loop, { .address = "127.0.0.1:0", .serve = [this](const std::shared_ptr<Net::Exchange>& exchange) { serve(exchange); } })
    {
        if (auto opened = m_server.open(); !opened)
            throw std::runtime_error(opened.error().text);
        m_relays = { address() };
        writeRelayList(store);
    }

    std::string address() const { return m_server.address(); }
    void setAnswer(RelayAnswer answer) { m_answer = answer; }
    // The shortest time after which a request is answered; one that may be held open is held for all of its wait.
    void setDelay(Common::Duration delay) { m_delay = delay; }

    // Answers all requests after the shortest time, as if each had news.
    void setHolding(bool isHolding) { m_isHolding = isHolding; }
    // The waits that were asked for, in order of arrival.
    const std::vector<Common::Duration>& waits() const { return m_waits; }

    // Whether its position is beyond that of each request, as after removals that it does not tell.
    void setAhead(bool isAhead) { m_isAhead = isAhead; }
    // Whether it says that it knows all removals; versions before that do not.
    void setKnowsRemovals(bool knows) { m_knowsRemovals = knows; }
    // Requests for the full catalog.
    int fullRequests() const { return m_fullRequests; }

    // The members that it tells of.
    void setKnownMembers(std::vector<Gateway::Member> members) { m_knownMembers = std::move(members); }
    // Names a second relay in the store's relay list.
    void appointStandby(PlatformStandIn::Store& store, const std::string& control)
    {
        m_relays = { address(), control };
        writeRelayList(store);
    }
    // Sends a gateway the relay list in the store.
    void announceTo(const std::string& control)
    {
        Gateway::UpdateRequest update {
            .member = { .control = address(), .callers = address(), .failureDomain = "a" },
            .position = {},
            .membersFrom = {},
            .membersRevision = 0,
            .wait = {},
            .relayList = { .relays = m_relays, .version = m_listVersion, .era = 1 },
            .crashes = {},
            .usage = {},
        };
        Net::Request request { .method = "POST", .target = "/v1/news", .headers = { { "Host", control } }, .body = Gateway::toText(update), .keepAlive = true };
        m_announcements.push_back(Net::ClientConnection::open(m_loop, control, {}));
        m_announcements.back()->send(Net::toBytes(request), true, std::chrono::seconds(1), { .answered = [](Net::ResponseHead&&) {}, .failed = [](const Net::ClientFailure&) {} });
    }

private:
    void writeRelayList(PlatformStandIn::Store& store)
    {
        store.put("gateway", "relays", Gateway::toText(Gateway::RelayList { .relays = m_relays }));
        m_listVersion = store.version();
    }
    void serve(const std::shared_ptr<Net::Exchange>& exchange)
    {
        auto request = Gateway::parseUpdateRequest(exchange->request().body);
        if (!request)
            return exchange->respond({ .status = Net::HttpStatus::BadRequest, .reason = {}, .headers = {}, .body = {} });
        auto isRelay = m_answer != RelayAnswer::NoRelay;
        Gateway::UpdateResponse response { .isRelay = isRelay, .relayList = request.value().relayList, .catalog = {}, .members = {}, .crashes = {}, .allowances = {} };
        response.catalog.position = request.value().position;
        response.catalog.position.registry += m_isAhead ? 1 : 0;
        response.catalog.knowsRemovals = m_knowsRemovals;
        m_fullRequests += request.value().position.registry == 0 ? 1 : 0;
        response.catalog.age = m_answer == RelayAnswer::Fresh ? std::chrono::milliseconds(0)
            : m_answer == RelayAnswer::AlmostOutdated         ? std::chrono::milliseconds(950)
                                                              : std::chrono::seconds(60);
        response.members = { .isFull = true, .revision = 1, .total = m_members, .members = m_knownMembers, .departed = {} };
        m_waits.push_back(request.value().wait);
        auto hold = isRelay && m_isHolding ? request.value().wait : Common::Duration::zero();
        m_loop.after(std::max(hold, m_delay), [exchange, response] {
            exchange->respond({ .status = Net::HttpStatus::Ok, .reason = {}, .headers = {}, .body = Gateway::toText(response, Gateway::encodeRows({})) });
        });
    }

    Net::EventLoop& m_loop;
    int m_members;
    RelayAnswer m_answer = RelayAnswer::Fresh;
    Common::Duration m_delay = std::chrono::milliseconds(5);
    bool m_isHolding = true;
    std::vector<Common::Duration> m_waits;
    bool m_isAhead = false;
    bool m_knowsRemovals = true;
    int m_fullRequests = 0;
    std::vector<Gateway::Member> m_knownMembers;
    std::vector<std::string> m_relays; // of the list in the store
    std::uint64_t m_listVersion = 0;
    std::vector<std::shared_ptr<Net::ClientConnection>> m_announcements;
    Net::HttpServer m_server;
};

}
