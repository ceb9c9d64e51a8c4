#include "Entry/CallerConnection.h"

#include <algorithm>
#include <array>

#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/String.h>
#include <json/json.h>

namespace Entry {

namespace {

    using Common::ResultCode;
    using Poco::Net::HTTPServerRequestImpl;
    using Poco::Net::HTTPServerResponseImpl;
    using Poco::Net::HTTPServerSession;
    using Requests::Call;

    std::string errorBody(const Call& call)
    {
        Json::Value json;
        json["code"] = static_cast<int>(call.code);
        json["name"] = std::string(Common::resultRow(call.code).name);
        json["text"] = call.errorText;
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, json);
    }

    bool isAnswerHeader(const std::string& name)
    {
        static const std::array hopHeaders { "connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade" };
        return std::none_of(hopHeaders.begin(), hopHeaders.end(), [&](const char* hop) { return Poco::icompare(name, hop) == 0; });
    }

    // Counts a request as in flight from its first byte to its answer's last.
    class InFlight {
    public:
        explicit InFlight(std::atomic<int>& count)
            : m_count(count)
        {
            ++m_count;
        }
        ~InFlight() { --m_count; }
        InFlight(const InFlight&) = delete;
        InFlight& operator=(const InFlight&) = delete;

    private:
        std::atomic<int>& m_count;
    };

    class CallerConnection : public Poco::Net::TCPServerConnection {
    public:
        CallerConnection(const Poco::Net::StreamSocket& socket, CallerContext& context, Poco::Net::HTTPServerParams::Ptr params)
            : TCPServerConnection(socket)
            , m_context(context)
            , m_params(std::move(params))
        {
        }

        void run() override
        {
            try {
                HTTPServerSession session(socket(), m_params);
                while (session.hasMoreRequests() && serveOne(session)) { }
            } catch (const Poco::Exception&) {
                // The caller has gone; there is nobody to tell.
            }
        }

    private:
        // Serves one request; false when the connection must end.
        bool serveOne(HTTPServerSession& session)
        {
            InFlight inFlight(m_context.inFlight);
            HTTPServerResponseImpl response(session);
            Call call;
            call.received = m_context.hooks.now();
            try {
                HTTPServerRequestImpl request(response, session, m_params.get());
                call.method = request.getMethod();
                call.target = request.getURI();
                response.setVersion(request.getVersion());
                auto keepAlive = request.getKeepAlive() && session.canKeepAlive() && !m_context.closing;
                if (auto page = m_context.page(call.method, call.target)) {
                    response.setKeepAlive(keepAlive);
                    sendPage(response, *page);
                    return keepAlive;
                }
                call.headers.assign(request.begin(), request.end());
                if (!readBody(request, call)) {
                    response.setKeepAlive(false);
                    sendAnswer(response, call);
                    return false;
                }
                m_context.chain.run(call);
                response.setKeepAlive(keepAlive);
                sendAnswer(response, call);
                noteOwnTime(call);
                return keepAlive;
            } catch (const Poco::Net::NoMessageException&) {
                return false;
            } catch (const Poco::TimeoutException&) {
                return refuse(response, call, ResultCode::RequestTimeout, "the request was not received whole in time");
            } catch (const Poco::Net::MessageException& ec) {
                return refuse(response, call, ResultCode::BadRequest, ec.displayText());
            }
        }

        // The entry's own share of a call: from the request's arrival to its bytes sent on, and from the answer to its bytes sent back.
        void noteOwnTime(const Call& call) const
        {
            if (call.code == ResultCode::Ok && call.attempts == 1)
                m_context.ownTimes.add((call.firstSent - call.received) + (m_context.hooks.now() - call.answerRead));
        }

        bool readBody(HTTPServerRequestImpl& request, Call& call) const
        {
            auto limit = static_cast<std::size_t>(m_context.limits.bodyBytes);
            if (request.hasContentLength() && request.getContentLength64() > m_context.limits.bodyBytes) {
                Requests::fail(call, ResultCode::BodyTooLarge, "the body exceeds the limit");
                return false;
            }
            if (!request.hasContentLength() && !request.getChunkedTransferEncoding())
                return true;
            constexpr std::size_t pieceBytes = 16 * 1024;
            std::array<char, pieceBytes> buf;
            auto& in = request.stream();
            while (in.good() && call.body.size() <= limit) {
                in.read(buf.data(), static_cast<std::streamsize>(buf.size()));
                call.body.append(buf.data(), static_cast<std::size_t>(in.gcount()));
            }
            if (call.body.size() > limit) {
                Requests::fail(call, ResultCode::BodyTooLarge, "the body exceeds the limit");
                return false;
            }
            if (request.hasContentLength() && static_cast<Poco::Int64>(call.body.size()) != request.getContentLength64()) {
                Requests::fail(call, ResultCode::RequestTimeout, "the body ended before its stated length");
                return false;
            }
            return true;
        }

        static bool refuse(HTTPServerResponseImpl& response, Call& call, ResultCode code, const std::string& text)
        {
            if (response.sent())
                return false;
            Requests::fail(call, code, text);
            response.setKeepAlive(false);
            sendAnswer(response, call);
            return false;
        }

        static void sendPage(HTTPServerResponseImpl& response, const Page& page)
        {
            response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(page.status));
            response.setContentType(page.contentType);
            response.sendBuffer(page.body.data(), page.body.size());
        }

        static void sendError(HTTPServerResponseImpl& response, const Call& call)
        {
            constexpr int msPerSecond = 1000;
            response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Common::resultRow(call.code).httpStatus));
            response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
            response.setContentType("application/json");
            if (call.retryAfterMs > 0)
                response.set("Retry-After", std::to_string((call.retryAfterMs + msPerSecond - 1) / msPerSecond));
            auto body = errorBody(call);
            response.sendBuffer(body.data(), body.size());
        }

        static void sendAnswer(HTTPServerResponseImpl& response, const Call& call)
        {
            response.set("Cowslipledge-Outcome", std::string(Common::outcomeName(call.outcome)));
            response.set("Cowslipledge-Result", std::to_string(static_cast<int>(call.code)));
            response.set("Cowslipledge-Attempts", std::to_string(call.attempts));
            if (!call.id.empty())
                response.set("Cowslipledge-Request", call.id);
            if (call.code != ResultCode::Ok)
                return sendError(response, call);
            response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(call.answer.status));
            response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
            for (const auto& [name, value] : call.answer.headers) {
                if (isAnswerHeader(name))
                    response.set(name, value);
            }
            response.sendBuffer(call.answer.body.data(), call.answer.body.size());
        }

        CallerContext& m_context;
        Poco::Net::HTTPServerParams::Ptr m_params;
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
