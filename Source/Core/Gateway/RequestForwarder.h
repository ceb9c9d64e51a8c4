#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Decisions/BodyForwarding.h"
#include "Gateway/Backends.h"
#include "Gateway/RequestRouter.h"
#include "Net/HttpServer.h"

namespace Gateway {

// Who sent a request. One from another gateway is not forwarded to a third.
enum class RequestOrigin {
    Caller,
    Gateway,
};

// Which gateway authenticates the caller of a request.
enum class Authenticator {
    Self, // this one has, and does so again if its configuration has changed meanwhile
    Sender, // the one that has forwarded the request here
    Receiver, // one that the request has to be forwarded to, since the configuration of this one is too old
};

// How a request is to be served, as decided when it arrived.
struct RequestPlan {
    Route route;
    std::string service;
    Common::TimePoint deadline;
    RequestOrigin origin = RequestOrigin::Caller;
    Authenticator authenticator = Authenticator::Self;
    std::optional<Organisation> organisation; // of the caller
};

// Forwards one request: probes a few servers for their load, sends the request to the best of them, retries or hedges where
// the route and the retry budget allow it, and answers the caller. Lives until it has answered or the caller has
// disconnected. Owned by RequestRouter.
class RequestForwarder : public std::enable_shared_from_this<RequestForwarder> {
public:
    RequestForwarder(RequestRouter&, std::shared_ptr<Net::Exchange>, RequestPlan);

    void start();
    // Called when the caller has disconnected: sends nothing more and cancels open attempts.
    void abandon();

private:
    // Load probe of one candidate server in the current probe round.
    struct LoadProbe {
        std::shared_ptr<Backend> backend;
        bool answered = false;
        bool failed = false;
    };
    // One send of the request to one server, or to another gateway.
    struct Attempt {
        std::shared_ptr<Backend> backend;
        int attemptsGiven = 0; // to another gateway: sends that it may make; 0 with a server
        std::shared_ptr<Net::ClientConnection> connection; // null once the attempt has ended
        Common::TimePoint sentAt;
        double expectedMs = 0; // response time predicted at placement
        bool isHedge = false;

        bool isToPeer() const { return attemptsGiven > 0; }
    };
    enum class CandidateScope {
        OwnDomain,
        OtherDomains,
        Peers, // other gateways, of any domain
    };

    // Begins the choice of a server or, where no server of the service answers this gateway or its configuration is too old to authenticate the
    // caller, of another gateway.
    void selectTarget();
    std::vector<std::shared_ptr<Backend>> rankedCandidates(CandidateScope);
    void probeServers(CandidateScope);
    // Asks other gateways whether they take the request. Returns false if none can be asked.
    bool probePeers();
    void sendProbes(std::vector<std::shared_ptr<Backend>>);
    // Called when no gateway that was asked takes the request.
    void onNoPeer();
    void placeAtPeer();
    void sendToPeer(const std::shared_ptr<Backend>&);
    void onPeerAnswer(const Attempt&, Net::Response&&);
    void onPeerFailure(const Attempt&, const Net::ClientFailure&);
    // Called when another gateway has sent the request to no server.
    void onReturnedByPeer(const Attempt&);
    void onProbeResult(std::size_t index, std::size_t round, const ProbeAnswer&);
    void onProbesDone();
    void placeRequest();
    // Whether the caller may still be served by the configuration in force. If not, ends the request.
    bool confirmCaller();
    void setOrganisation(std::optional<Organisation>);
    void send(const std::shared_ptr<Backend>&, double expectedMs);
    void startAttempt(const Attempt&, std::string bytes);
    // Tells whether a response that comes over an attempt's connection answers this request.
    std::function<bool(const Net::ResponseHead&)> responseMatcher(bool isPeer) const;
    // What becomes of a response.
    enum class AnswerUse {
        PassOn,
        Rejection, // the server, or another gateway, states that the request has not run
        UnprovenRejection, // the status would tell the caller so, but the server does not state it
    };

    AnswerUse answerUse(const Attempt&, const Net::Response&) const;
    void onAnswer(std::size_t attempt, Net::ResponseHead&&);
    void onAttemptAnswered(const Attempt&, Net::Response&&);
    void onUnprovenRejection(const Attempt&, Net::Response&&);
    void onFailure(std::size_t attempt, const Net::ClientFailure&);
    void retryOrGiveUpAfterFailure();
    // A response too long to be held is passed on while it arrives. No other attempt is possible from then on.
    void onResponseStarted(std::size_t attempt, Net::ResponseHead&&);
    void onResponsePart(std::size_t attempt, std::string&&);
    void onResponseCompleted(std::size_t attempt);
    void pauseWhileBacklogged();
    // More of the caller's body has come, or it can't be completed.
    void onBody();
    // Sends what has come of the body to the attempt that it is streamed to, as far as that has room.
    void forwardBody();
    void cutResponse(const char* cause);
    void learnFromResponse(const Attempt&, const Net::Response&);
    // Takes what the answer to a forwarded request says of the server that gave it.
    void learnFromPeerResponse(Net::Response&);
    // Names the server to the gateway that has forwarded the request.
    void addServedBy(Net::Response&, const Attempt&) const;
    Attempt finishAttempt(std::size_t attempt);
    // Called after an attempt that gave no response to pass on. `cause` is logged.
    void retryOrGiveUp(const char* cause);
    void giveUp(const char* cause, Decisions::RefusalReason, double excessMs);
    void armHedgeTimer();
    void startHedgeTimer(Common::Duration);
    void onHedgeDue();
    // Looks for a server for a hedged attempt if the hedging policy allows one.
    void beginHedge();
    void sendHedge(const std::shared_ptr<Backend>&, double expectedMs);
    // Called when a hedged attempt is due and can't be sent now: tries again later.
    void denyHedge(const char* cause);
    // Takes what an open attempt tells that another one has overtaken.
    void learnFromOvertaken(const Attempt&);
    // Time since the open attempt was sent, where there is only one.
    Common::Duration openAttemptAge() const;
    void respond(Net::Response&&, const Attempt&);
    void recordAnswered(int status, const Attempt&);
    void closeAttempt(Attempt&);
    void refuse(Decisions::RefusalReason, double excessMs);
    // Ends a request that can't be served, since the caller is not authenticated.
    void rejectCaller(Decisions::AuthenticationVerdict);
    // `isUnreachable`: this gateway reaches no server and has sent the request to none; tells a gateway that forwarded it.
    void respondRefused(const char* cause, const std::string& retryAfterS, bool isUnreachable);
    void fail(int status, const std::string& cause);
    void onDeadline();
    void finish();
    bool isSafeToRepeat() const { return m_route.repeat == Records::Repeat::Safe; }
    PeerNeed peerNeed() const { return m_authenticator == Authenticator::Receiver ? PeerNeed::Authentication : PeerNeed::Servers; }
    bool isProbing() const { return m_probeTimer != 0; }
    // Whether a probe of the current round has neither been answered nor failed.
    bool isProbePending() const;
    // Ends the wait for probe results after `timeout`.
    void startProbeTimer(Common::Duration timeout);
    double timeLeftMs() const;
    // Whether the request can still be answered if the gateway is stopping. `expectedMs`: response time of the server.
    bool completesBeforeStop(double expectedMs) const;
    // The request, of a long body the start, with the time that is left and `extra`.
    std::string requestBytes(const Net::Header& extra) const;
    std::vector<Common::EventField> logFields(const char* outcome) const;

    RequestRouter& m_router;
    std::shared_ptr<Net::Exchange> m_exchange;
    Route m_route;
    std::string m_service;
    std::string m_id;
    std::uint64_t m_identity; // see requestIdentity()
    Decisions::BodyForwarding m_body;
    std::optional<std::size_t> m_bodyAttempt; // the attempt that the body is streamed to
    Common::TimePoint m_deadline;
    RequestOrigin m_origin;
    Authenticator m_authenticator;
    std::optional<Organisation> m_organisation; // of the caller; empty on public routes and where the configuration has none
    std::uint64_t m_configurationVersion = 0; // by which the caller was identified
    CandidateScope m_scope = CandidateScope::OwnDomain;
    std::size_t m_probeRound = 0; // each attempt begins a new one; late results of earlier rounds are ignored
    std::size_t m_lateProbeRound = 0; // the last one whose probes got their whole time, since none was answered soon
    int m_peerRounds = 0; // rounds that asked other gateways
    bool m_hasProbedServers = false; // in any round
    bool m_foundFullServers = false; // in any round
    std::vector<LoadProbe> m_probes;
    std::set<std::string> m_tried; // ids of the servers that the request was sent to
    std::vector<Attempt> m_attempts; // open and ended ones
    std::size_t m_openAttempts = 0;
    Net::EventLoop::TimerId m_probeTimer = 0;
    Net::EventLoop::TimerId m_deadlineTimer = 0;
    Net::EventLoop::TimerId m_hedgeTimer = 0;
    double m_probesLeft = 0; // that the current round may still send; has a fractional part
    bool m_isHedging = false; // the current probe round looks for a server for a hedged attempt
    bool m_wasHedgeDenied = false;
    std::string m_hedgeOutcome; // log field `hedge`
    int m_attemptCount = 0;
    int m_probesSent = 0; // over all rounds
    bool m_mayHaveExecuted = false; // an attempt ended without proof that the server did not execute it
    bool m_ended = false;
    std::optional<std::size_t> m_passedOn; // the attempt whose response is being passed on
    int m_passedOnStatus = 0;
    std::optional<Net::Response> m_serverFailure; // last 5xx response; passed on if no other attempt succeeds
    std::string m_lastServer;
    std::string m_lastInputs; // log field `inputs`: the signals behind the last placement
};

}
