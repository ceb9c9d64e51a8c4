#include "Entry/CallerConnection.h"

#include <ctime>

#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnection.h>

#include "Entry/RequestReader.h"

namespace Entry {

namespace {

    using Common::ResultCode;
    using Poco::Net::HTTPServerRequestImpl;
    using Poco::Net::HTTPServerResponseImpl;
    using Requests::Call;

    // One call in so many has its processor time taken: the clock costs a system call.
    constexpr std::uint64_t cpuSampleInterval = 16;

    Common::Duration threadCpuTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    // Counts a request as in flight, for shutdown.
    class InFlight {
    public:
        InFlight(CallerContext& context, ConnectionRegistry::Place& place)
            : m_context(context)
            , m_place(place)
        {
            ++m_context.inFlight;
            m_place.setBusy(true);
        }
        ~InFlight()
        {
            m_place.setBusy(false);
            --m_context.inFlight;
        }
        InFlight(const InFlight&) = delete;
        InFlight& operator=(const InFlight&) = delete;

    private:
        CallerContext& m_context;
        ConnectionRegistry::Place& m_place;
    };

    // The library's own limits on single lines of a head share one exception type with all other mistakes; only the text tells.
    bool isTooLarge(const Poco::Exception& ec)
    {
        const auto& text = ec.message();
        return text.find("too long") != std::string::npos || text.find("Too many") != std::string::npos;
    }

    Poco::Timespan milliseconds(int ms)
    {
        return { static_cast<Poco::Timespan::TimeDiff>(ms) * Poco::Timespan::MILLISECONDS };
    }

    class CallerConnection : public Poco::Net::TCPServerConnection {
    public:
        CallerConnection(const Poco::Net::StreamSocket& connection, CallerContext& context, Poco::Net::HTTPServerParams::Ptr params)
            : TCPServerConnection(connection)
            , m_context(context)
            , m_params(std::move(params))
        {
        }

        void run() override
        {
            try {
                ConnectionRegistry::Place place(m_context.connections, socket());
                CallerSession session(socket(), m_params);
                while (awaitRequest(session) && serveOne(session, place)) { }
            } catch (const Poco::Exception&) {
                // The caller has gone; there is nobody to tell.
            }
        }

    private:
        bool awaitRequest(CallerSession& session)
        {
            return session.unread() > 0 || socket().poll(milliseconds(m_context.limits.idleTimeoutMs), Poco::Net::Socket::SELECT_READ);
        }

        // Serves one request; false when the connection must end.
        bool serveOne(CallerSession& session, ConnectionRegistry::Place& place)
        {
            InFlight inFlight(m_context, place);
            Call call;
            call.received = m_context.hooks.now();
            call.callerSocket = socket().impl()->sockfd();
            auto cpuAtStart = takesCpuSample() ? threadCpuTime() : Common::Duration::zero();
            auto keep = exchange(session, call);
            noteOwnTimes(call, cpuAtStart);
            if (m_malformed)
                discardUnread();
            return keep;
        }

        // Reads the request and sends the answer: the last byte leaves when the response object ends.
        bool exchange(CallerSession& session, Call& call)
        {
            constexpr std::size_t readAheadBytes = 4096;
            auto deadline = call.received + std::chrono::milliseconds(m_context.limits.headTimeoutMs);
            session.callerSocket().allow(static_cast<std::size_t>(m_context.limits.headBytes) + readAheadBytes, deadline);
            HTTPServerResponseImpl response(session);
            try {
                HTTPServerRequestImpl request(response, session, m_params.get());
                return serve(session, request, response, call, deadline);
            } catch (const Poco::Net::NoMessageException& ec) {
                return session.networkException() && !response.sent() && refuse(session, call, ec);
            } catch (const Poco::Exception& ec) {
                return !response.sent() && refuse(session, call, ec);
            }
        }

        bool serve(CallerSession& session, HTTPServerRequestImpl& request, HTTPServerResponseImpl& response, Call& call, Common::TimePoint deadline)
        {
            response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
            if (!readHead(request, session, m_context.limits, call)) {
                answerMalformed(response, call);
                return false;
            }
            if (auto page = m_context.page(call.method, call.target)) {
                ++m_context.counters.pages;
                auto keepAlive = keepsAlive(request) && !hasBody(request);
                response.setKeepAlive(keepAlive);
                sendPage(response, *page);
                return keepAlive;
            }
            // Chunks bring bytes of their own; a body of more framing than content is refused as too large.
            session.callerSocket().allow(2 * static_cast<std::size_t>(m_context.limits.bodyBytes) + static_cast<std::size_t>(m_context.limits.headBytes), deadline);
            if (!readBody(request, session, m_context.limits, call)) {
                answerMalformed(response, call);
                return false;
            }
            m_context.chain.run(call);
            count(call);
            auto keepAlive = keepsAlive(request);
            response.setKeepAlive(keepAlive);
            sendAnswer(response, call);
            return keepAlive;
        }

        // What the library threw while reading, as a numbered refusal.
        bool refuse(CallerSession& session, Call& call, const Poco::Exception& thrown)
        {
            const Poco::Exception& cause = session.networkException() ? *session.networkException() : thrown;
            if (dynamic_cast<const BudgetExceeded*>(&cause))
                Requests::fail(call, call.headers.empty() ? ResultCode::HeadTooLarge : ResultCode::BodyTooLarge, cause.message());
            else if (dynamic_cast<const Poco::TimeoutException*>(&cause))
                Requests::fail(call, ResultCode::RequestTimeout, "the request was not received whole in time");
            else if (session.networkException())
                return false;
            else
                Requests::fail(call, isTooLarge(cause) ? ResultCode::HeadTooLarge : ResultCode::BadRequest, cause.displayText());
            // A response of its own: the other one refers to a request that is gone.
            HTTPServerResponseImpl response(session);
            response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
            answerMalformed(response, call);
            return false;
        }

        void answerMalformed(HTTPServerResponseImpl& response, const Call& call)
        {
            ++m_context.counters.malformed;
            count(call);
            response.setKeepAlive(false);
            sendAnswer(response, call);
            m_malformed = true;
        }

        // Closing with unread bytes resets the connection, and the caller might lose the answer: read a bounded rest first.
        void discardUnread()
        {
            constexpr int maxReads = 64;
            constexpr int waitMs = 50;
            std::array<char, 16 * 1024> buf;
            socket().shutdownSend();
            for (int i = 0; i < maxReads && socket().poll(milliseconds(waitMs), Poco::Net::Socket::SELECT_READ); ++i) {
                if (::recv(socket().impl()->sockfd(), buf.data(), buf.size(), MSG_DONTWAIT) <= 0)
                    return;
            }
        }

        bool keepsAlive(const HTTPServerRequestImpl& request) const { return request.getKeepAlive() && !m_context.closing; }

        static bool hasBody(const HTTPServerRequestImpl& request)
        {
            return request.getChunkedTransferEncoding() || (request.hasContentLength() && request.getContentLength64() > 0);
        }

        void count(const Call& call)
        {
            auto& counters = m_context.counters;
            ++(call.outcome == Common::Outcome::Answered ? counters.answered : call.outcome == Common::Outcome::NotRun ? counters.notRun
                                                                                                                       : counters.unknown);
        }

        bool takesCpuSample() { return ++m_served % cpuSampleInterval == 0; }

        // The entry's own share of a call: from the request's arrival to its bytes sent on, and from the answer to its bytes sent back.
        void noteOwnTimes(const Call& call, Common::Duration cpuAtStart) const
        {
            if (call.code != ResultCode::Ok || call.attempts != 1)
                return;
            m_context.ownTimes.add((call.firstSent - call.received) + (m_context.hooks.now() - call.answerRead));
            if (cpuAtStart != Common::Duration::zero())
                m_context.ownCpuTimes.add(threadCpuTime() - cpuAtStart);
        }

        CallerContext& m_context;
        Poco::Net::HTTPServerParams::Ptr m_params;
        std::uint64_t m_served = 0;
        bool m_malformed = false; // the rest of what the caller sent has no meaning
    };

    class CallerConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
    public:
        CallerConnectionFactory(CallerContext& context, Poco::Net::HTTPServerParams::Ptr params)
            : m_context(context)
            , m_params(std::move(params))
        {
        }

        Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
        {
            return new CallerConnection(socket, m_context, m_params);
        }

    private:
        CallerContext& m_context;
        Poco::Net::HTTPServerParams::Ptr m_params;
    };

}

Poco::Net::TCPServerConnectionFactory::Ptr callerConnectionFactory(CallerContext& context, Poco::Net::HTTPServerParams::Ptr params)
{
    return new CallerConnectionFactory(context, std::move(params));
}

}
