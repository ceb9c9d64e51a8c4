#include "Requests/AttemptRunner.h"

#include <algorithm>
#include <array>

#include <poll.h>

#include "Requests/AttemptRequest.h"
#include "Requests/LoadHeaders.h"

namespace Requests {

namespace {

    using Controllers::AttemptHold;
    using Decisions::AttemptEnd;
    using Decisions::AttemptFault;
    using Decisions::AttemptStage;

    // One request on its way.
    struct Flight {
        AttemptHold hold;
        AttemptEnd end;
        Backends::BackendAnswer answer;
        bool waiting = false; // sent and not ended
    };

    // The requests of one attempt: the first and, late, a second one.
    class Attempt {
    public:
        Attempt(const AttemptRunnerOptions& options, Controllers::BackendServers& servers, Common::EventLog& log, const Call& call, const AttemptPlan& plan)
            : m_options(options)
            , m_servers(servers)
            , m_log(log)
            , m_call(call)
            , m_plan(plan)
            , m_exclude(plan.exclude.begin(), plan.exclude.end())
            , m_watchCaller(call.callerSocket >= 0)
        {
        }

        Common::Result<AttemptResult> run()
        {
            auto first = start(m_options.connectTimeout);
            if (!first)
                return first.error();
            while (m_waiting > 0)
                step();
            return conclude();
        }

    private:
        // Sends the request to a server not tried yet. Errors of the choice.
        Common::Result<void> start(Common::Duration connectTimeout)
        {
            auto hold = m_servers.begin(m_call.service, m_exclude, m_plan.freshness);
            if (!hold)
                return hold.error();
            auto& flight = m_flights[m_count++];
            flight.hold = std::move(hold).value();
            m_exclude.push_back(flight.hold.ticket.address);
            m_result.servers.push_back(flight.hold.ticket.address);
            flight.end = send(flight.hold.connection, connectTimeout);
            if (flight.end.stage >= AttemptStage::PartlySent)
                ++m_result.sends;
            flight.waiting = flight.end.stage == AttemptStage::Sent;
            m_waiting += flight.waiting ? 1 : 0;
            if (flight.waiting && m_result.firstSent == Common::TimePoint())
                m_result.firstSent = m_options.hooks.now();
            if (!flight.waiting)
                finish(flight);
            return boost::outcome_v2::success();
        }

        // A kept connection that the server closed while it was idle says nothing of the server: the same one is tried over a new
        // connection. Nothing was sent.
        AttemptEnd send(Backends::ConnectionPool::Lease& lease, Common::Duration connectTimeout) const
        {
            auto end = sendOver(lease, connectTimeout);
            if (!lease.kept || end.stage != AttemptStage::BeforeSend || end.fault != AttemptFault::Closed)
                return end;
            lease.kept = false;
            lease.session->closeStale();
            return sendOver(lease, connectTimeout);
        }

        AttemptEnd sendOver(Backends::ConnectionPool::Lease& lease, Common::Duration connectTimeout) const
        {
            if (!lease.session)
                return { .stage = AttemptStage::BeforeConnect, .fault = AttemptFault::Refused };
            auto now = m_options.hooks.now();
            if (now >= m_call.deadline)
                return { .stage = AttemptStage::BeforeConnect, .fault = AttemptFault::TimedOut };
            if (!lease.kept) {
                auto end = lease.session->open(std::min<Common::Duration>(connectTimeout, m_call.deadline - now));
                if (end.stage != AttemptStage::BeforeSend)
                    return end;
                now = m_options.hooks.now();
                if (now >= m_call.deadline)
                    return { .stage = AttemptStage::BeforeSend, .fault = AttemptFault::TimedOut };
            }
            auto request = attemptRequest(m_call, m_call.deadline - now);
            return lease.session->send(request, m_call.deadline - now);
        }

        // Waits for what comes first: an answer, the time for a second request, the deadline, the caller's leaving.
        void step()
        {
            std::array<pollfd, maxFlights + 1> items {};
            for (std::size_t i = 0; i < maxFlights; ++i)
                items[i] = { .fd = m_flights[i].waiting ? m_flights[i].hold.connection.session->pollSocket().impl()->sockfd() : -1, .events = POLLIN, .revents = 0 };
            items[maxFlights] = { .fd = m_watchCaller ? m_call.callerSocket : -1, .events = POLLRDHUP, .revents = 0 };
            auto hedgeAt = m_plan.hedgeAfter && !m_hedgeAsked ? m_result.firstSent + *m_plan.hedgeAfter : m_call.deadline;
            auto until = std::min(hedgeAt, m_call.deadline);
            auto ready = ::poll(items.data(), items.size(), Backends::pollTimeout(until));
            if (ready > 0 && items[maxFlights].revents != 0 && callerHasGone())
                return abandonAll(AttemptFault::Cancelled);
            for (std::size_t i = 0; ready > 0 && i < maxFlights; ++i) {
                if (items[i].revents != 0 && m_flights[i].waiting)
                    receive(m_flights[i]);
            }
            if (ready != 0)
                return;
            if (until == m_call.deadline)
                return abandonAll(AttemptFault::TimedOut);
            m_hedgeAsked = true;
            if (m_plan.takeHedge())
                (void)start(m_options.hedgeConnectTimeout);
        }

        bool callerHasGone()
        {
            // Asked once: others may wait for this answer, and then the socket would be readable for ever.
            m_watchCaller = false;
            return !m_call.mayCancel || m_call.mayCancel();
        }

        void receive(Flight& flight)
        {
            flight.end = flight.hold.connection.session->receive(flight.answer, m_call.deadline);
            settle(flight);
            if (Decisions::attemptOutcome(flight.end) == Common::Outcome::Answered)
                abandonAll(AttemptFault::Cancelled);
        }

        void abandonAll(AttemptFault fault)
        {
            for (auto& flight : m_flights) {
                if (!flight.waiting)
                    continue;
                flight.end = flight.hold.connection.session->abandon(fault);
                settle(flight);
            }
        }

        void settle(Flight& flight)
        {
            flight.waiting = false;
            --m_waiting;
            finish(flight);
        }

        // Gives the connection back and tells what was learned.
        void finish(Flight& flight)
        {
            auto load = flight.end.stage == AttemptStage::Answered ? loadReport(flight.answer.headers) : std::nullopt;
            auto server = flight.hold.ticket.address;
            m_servers.end(m_call.service, std::move(flight.hold), { .end = flight.end, .load = load });
            m_log.trace(Common::EventId::CallAttempt, { { "request", m_call.id }, { "service", m_call.service }, { "server", server }, { "status", std::to_string(flight.end.status) } });
        }

        AttemptResult conclude()
        {
            auto& best = better(m_flights[0], m_flights[1]);
            m_result.hedgeWon = m_count > 1 && &best == &m_flights[1];
            m_result.end = best.end;
            m_result.answer = std::move(best.answer);
            removeOwnHeaders(m_result.answer.headers);
            m_result.ended = m_options.hooks.now();
            for (std::size_t i = 0; i < m_count; ++i)
                m_result.otherMayHaveRun = m_result.otherMayHaveRun || (&m_flights[i] != &best && Decisions::attemptOutcome(m_flights[i].end) != Common::Outcome::NotRun);
            return std::move(m_result);
        }

        // An answer counts before all, and what may have run before what did not.
        Flight& better(Flight& first, Flight& second) const
        {
            if (m_count < 2)
                return first;
            auto rank = [](const Flight& flight) {
                auto outcome = Decisions::attemptOutcome(flight.end);
                return outcome == Common::Outcome::Answered ? 2 : outcome == Common::Outcome::Unknown ? 1
                                                                                                      : 0;
            };
            return rank(second) > rank(first) ? second : first;
        }

        static constexpr std::size_t maxFlights = 2;

        const AttemptRunnerOptions& m_options;
        Controllers::BackendServers& m_servers;
        Common::EventLog& m_log;
        const Call& m_call;
        const AttemptPlan& m_plan;
        std::vector<std::string> m_exclude;
        bool m_watchCaller;
        bool m_hedgeAsked = false;
        std::array<Flight, maxFlights> m_flights;
        std::size_t m_count = 0;
        int m_waiting = 0;
        AttemptResult m_result;
    };

}

RunAttempt socketAttempts(AttemptRunnerOptions options, Controllers::BackendServers& servers, Common::EventLog& log)
{
    return [options = std::move(options), &servers, &log](const Call& call, const AttemptPlan& plan) {
        return Attempt(options, servers, log, call, plan).run();
    };
}

}
