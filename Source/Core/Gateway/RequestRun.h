#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Gateway/Backends.h"
#include "Gateway/Engine.h"
#include "Net/HttpServer.h"

namespace Gateway {

// One request on its way: asks a few servers for their load, sends to the best, sends again where that is allowed, and
// answers the caller. Lives until it has answered or the caller has left.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
    RequestRun(Engine&, std::shared_ptr<Net::Exchange>, Route, std::string service, Common::TimePoint deadline);

    void start();
    // The caller has left: nothing more is sent and work under way is cancelled.
    void abandon();

private:
    // One server's part in a choice.
    struct Question {
        std::shared_ptr<Backend> backend;
        bool answered = false;
        bool failed = false;
    };
    // The request on its way to one server.
    struct Flight {
        std::shared_ptr<Backend> backend;
        std::shared_ptr<Net::ClientConnection> connection;
        Common::TimePoint sentAt;
        double expectedMs = 0;
    };
    enum class Scope {
        OwnDomain,
        All,
    };

    std::vector<std::shared_ptr<Backend>> rankedCandidates(Scope);
    void ask(Scope);
    void onReport(std::size_t index, std::size_t choice, const ProbeAnswer&);
    void onPatienceOver();
    void place();
    void send(const std::shared_ptr<Backend>&, double expectedMs);
    void onAnswer(std::size_t flight, Net::ResponseHead&&);
    void onFailure(std::size_t flight, Net::ClientFailure);
    Flight endFlight(std::size_t flight);
    // After an attempt that brought no answer to deliver.
    void tryAgain(const char* cause);
    void giveUp(const char* cause, Decisions::RefusalReason, double excessMs);
    void armSecondSend();
    void onSecondSendDue();
    void deliver(Net::Response&&, const Flight&);
    void refuse(Decisions::RefusalReason, double excessMs);
    void fail(int status, const char* cause);
    void onDeadline();
    void end();
    bool mayRepeat() const { return m_route.repeat == Records::Repeat::Safe; }
    bool isAsking() const { return m_patience != 0; }
    double timeLeftMs() const;
    std::string requestBytes(const Backend&) const;
    std::vector<Common::EventField> logFields(const char* outcome) const;

    Engine& m_engine;
    std::shared_ptr<Net::Exchange> m_exchange;
    Route m_route;
    std::string m_service;
    std::string m_id;
    Common::TimePoint m_deadline;
    Scope m_scope = Scope::OwnDomain;
    std::size_t m_choice = 0; // number of the choice under way; a request sent again is chosen for anew
    std::vector<Question> m_questions;
    std::set<std::string> m_tried; // servers the request was sent to
    std::vector<Flight> m_flights; // ended ones have no connection
    std::size_t m_open = 0; // flights under way
    Net::EventLoop::TimerId m_patience = 0;
    Net::EventLoop::TimerId m_deadlineTimer = 0;
    Net::EventLoop::TimerId m_secondSendTimer = 0;
    double m_questionsLeft = 0; // of this choice
    int m_sends = 0;
    int m_asked = 0; // questions for load
    bool m_mayHaveRun = false; // a send ended without proof that it did not run
    bool m_ended = false;
    std::optional<Net::Response> m_serverFailure; // a server's own failure, delivered when nothing better comes
    std::string m_lastServer;
    std::string m_lastInputs; // what decided the last placement
};

}
