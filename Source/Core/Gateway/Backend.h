#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "Decisions/Placement.h"
#include "Gateway/LoadReport.h"
#include "Gateway/ServerRecord.h"
#include "Gateway/WireHeaders.h"
#include "Net/HttpClient.h"

namespace Gateway {

struct BackendOptions {
    const WireHeaders* headers = nullptr;
    std::string healthPath;
    std::string failureDomain; // this entry's own
    int maxConnections = 15; // this entry's part of the server's
    Net::ClientOptions client;
};

// What became of a question for the load.
struct ProbeAnswer {
    bool answered = false;
    bool healthy = false;
    bool reported = false; // with a load report
};

// One backend server: its connections, and what this entry has learned of it. Lives as long as the registry names it or a
// request is under way there.
class Backend : public std::enable_shared_from_this<Backend> {
public:
    Backend(Net::EventLoop&, ServerRecord, BackendOptions);

    const ServerRecord& record() const { return m_record; }
    // Takes a newer registry entry; a new incarnation or address forgets all that was learned.
    void update(const ServerRecord&);
    void setOptions(BackendOptions options) { m_options = std::move(options); }

    // No longer to be used: drained, gone, or another server has its address.
    void retire();
    bool isUsable() const { return !m_retired && !m_record.draining && !m_misdirected; }
    // Another server answered at the address; holds until the registry tells news.
    void setMisdirected();

    // Asks for health and load. The callback is called once, whatever happens.
    void probe(Common::Duration limit, const std::function<void(const ProbeAnswer&)>& done);
    // Sends over a free connection, most recently used first, or a new one. `freshWithin`: older free connections are not used.
    std::shared_ptr<Net::ClientConnection> send(std::string bytes, bool expectsBody, Common::Duration limit, Common::Duration freshWithin, Net::ClientHandlers);
    // Gives up a request under way: its connection is closed, so that the server stops its work.
    void abandon(const std::shared_ptr<Net::ClientConnection>&);

    // Learning. `expectedMs`: what the placement expected, `tookMs`: what it took.
    void noteAnswer(double tookMs, double expectedMs);
    void noteFailure();
    void noteReport(const Net::Headers&);
    void beginWork() { ++m_unreported, ++m_inFlight; }
    void endWork();

    Decisions::ServerSignal signal(Common::TimePoint now) const;
    double failureShare(Common::TimePoint now) const;
    // Age of the last report; nothing where there is none.
    std::optional<Common::Duration> reportAge(Common::TimePoint now) const { return m_report ? std::optional(now - m_report->at) : std::nullopt; }
    // Did not answer the last questions: asked again only when little else is left, or after a pause.
    bool isSuspect(Common::TimePoint now) const { return now < m_suspectUntil; }
    bool hasFreeConnection() const { return !m_free.empty(); }
    int inFlight() const { return m_inFlight; }
    std::size_t connections() const { return m_free.size() + m_busy.size(); }
    std::uint64_t connectionsOpened() const { return m_opened; }

    // Closes connections that have been free for too long.
    void sweep(Common::TimePoint now);

private:
    struct Taken {
        std::shared_ptr<Net::ClientConnection> connection;
        bool kept = false;
    };

    Taken take(Common::Duration freshWithin);
    void release(const std::shared_ptr<Net::ClientConnection>&);
    bool isStale(const Net::ClientConnection&, Common::TimePoint now) const;
    void ask(Common::Duration limit, bool mayReopen, const std::function<void(const ProbeAnswer&)>& done);
    void noteSilence();
    void forget();

    Net::EventLoop& m_loop;
    ServerRecord m_record;
    BackendOptions m_options;
    std::deque<std::shared_ptr<Net::ClientConnection>> m_free;
    std::unordered_set<std::shared_ptr<Net::ClientConnection>> m_busy;
    std::optional<LoadReport> m_report;
    Common::TimePoint m_coldUntil;
    Common::TimePoint m_suspectUntil;
    Common::TimePoint m_learnedAt;
    double m_slowness = 1;
    double m_failures = 0; // weights that fade with time
    double m_answers = 0;
    int m_silences = 0; // questions in a row without an answer
    int m_unreported = 0;
    int m_inFlight = 0;
    std::uint64_t m_opened = 0;
    bool m_healthy = true;
    bool m_retired = false;
    bool m_misdirected = false;
};

}
