#include "Soak/SoakCallers.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>

#include <fmt/format.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include "platform/Names.h"

namespace Soak {

namespace {

    namespace Names = PlatformAdapter::Names;
    using Poco::Net::HTTPClientSession;

    constexpr int ok = 200;
    constexpr std::size_t longBodyBytes = 400'000;

    // Reads chunked bodies itself: to the library's stream, the end of the connection is the end of the body.
    class CallerSession : public HTTPClientSession {
    public:
        using HTTPClientSession::HTTPClientSession;

        // nullopt: the body ended before its last chunk.
        std::optional<std::string> readChunks()
        {
            try {
                std::string body;
                while (auto sizeLine = readLine()) {
                    constexpr int hexadecimal = 16;
                    auto size = std::strtoul(sizeLine->c_str(), nullptr, hexadecimal);
                    if (size == 0)
                        return skipTrailers() ? std::optional(body) : std::nullopt;
                    auto end = body.size() + size;
                    for (auto at = body.size(); at < end;) {
                        body.resize(end);
                        auto n = read(body.data() + at, static_cast<std::streamsize>(end - at));
                        if (n <= 0)
                            return std::nullopt;
                        at += static_cast<std::size_t>(n);
                    }
                    readLine();
                }
            } catch (const Poco::Exception&) {
                // A reset.
            }
            return std::nullopt;
        }

    private:
        // Without its end; nullopt: the connection ended in it.
        std::optional<std::string> readLine()
        {
            std::string line;
            for (auto c = get(); c != std::char_traits<char>::eof(); c = get()) {
                if (c == '\n')
                    return line;
                if (c != '\r')
                    line += static_cast<char>(c);
            }
            return std::nullopt;
        }

        bool skipTrailers()
        {
            while (auto line = readLine()) {
                if (line->empty())
                    return true;
            }
            return false;
        }
    };

    std::unique_ptr<CallerSession> connectTo(const std::string& address)
    {
        auto session = std::make_unique<CallerSession>(Poco::Net::SocketAddress(address));
        session->setKeepAlive(true);
        session->setTimeout(Poco::Timespan(1, 0), Poco::Timespan(3, 0), Poco::Timespan(3, 0));
        // A second send by the library would look like a request run twice.
        session->setKeepAliveTimeout(Poco::Timespan(3600, 0));
        return session;
    }

    // What a head of an answer has that none may have; empty: nothing. Poco's parser accepts any status and names with blanks.
    std::string oddHeadOf(const Poco::Net::HTTPResponse& response)
    {
        constexpr int firstStatus = 100;
        constexpr int lastStatus = 599;
        constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
        auto isOfToken = [&](unsigned char c) { return c < 0x80 && (std::isalnum(c) != 0 || symbols.find(static_cast<char>(c)) != std::string_view::npos); };
        auto isControl = [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; };
        if (response.getStatus() < firstStatus || response.getStatus() > lastStatus)
            return fmt::format("status {:03}", static_cast<int>(response.getStatus()));
        for (const auto& [name, value] : response) {
            if (name.empty() || !std::all_of(name.begin(), name.end(), isOfToken))
                return "a field name that is no token";
            if (std::any_of(value.begin(), value.end(), isControl))
                return "a field value with a control character";
        }
        return response.hasContentLength() && response.getChunkedTransferEncoding() ? "a length beside chunked" : "";
    }

    // Sends one request and reads its answer into the outcome; false when the connection is not to be used again.
    bool exchange(CallerSession& session, const CallersOptions& options, const HeaderFields& fields, Outcome& outcome)
    {
        Poco::Net::HTTPRequest request(outcome.once ? "POST" : "GET", outcome.isPublic ? "/public/x" : outcome.once ? "/once/x"
                                                                                                                    : "/safe/x",
            "HTTP/1.1");
        request.set("Host", "host.example");
        request.set(Names::requestId, outcome.id);
        request.set(Names::deadline, std::to_string(options.deadlineMs));
        for (const auto& [name, value] : fields)
            request.add(name, value);
        std::string body = outcome.once ? "body of " + outcome.id : "";
        if (outcome.once && outcome.hasLongBody)
            body.resize(longBodyBytes, 'x');
        if (outcome.once)
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        try {
            session.sendRequest(request) << body << std::flush;
            outcome.connected = true;
            Poco::Net::HTTPResponse response;
            auto& stream = session.receiveResponse(response);
            outcome.oddHead = oddHeadOf(response);
            std::optional<std::string> received;
            if (response.getChunkedTransferEncoding())
                received = session.readChunks();
            else
                Poco::StreamCopier::copyToString(stream, received.emplace());
            // The stream keeps the library's exception at a reset; the end of the connection is no error to it.
            if (stream.bad() || !received || (response.hasContentLength() && received->size() != static_cast<std::size_t>(response.getContentLength64()))) {
                outcome.cutBody = response.getStatus() == ok;
                return false;
            }
            outcome.status = response.getStatus();
            outcome.wrongBody = outcome.status == ok && *received != "answer to " + outcome.id;
            return response.getKeepAlive();
        } catch (const Poco::Exception&) {
            return false; // no answer: the outcome says so with status 0
        }
    }

}

SoakCallers::SoakCallers(CallersOptions options)
    : m_options(std::move(options))
{
    for (int i = 0; i < m_options.threads; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

SoakCallers::~SoakCallers()
{
    stop();
}

void SoakCallers::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

std::vector<Outcome> SoakCallers::outcomes() const
{
    std::lock_guard lock(m_mutex);
    return m_outcomes;
}

void SoakCallers::run(int number)
{
    std::mt19937_64 random(m_options.seed * 1000 + static_cast<std::uint64_t>(number));
    std::unique_ptr<CallerSession> session;
    std::string gateway;
    for (int n = 0; !m_stopping; ++n) {
        if (!session) {
            gateway = m_options.gateways[random() % m_options.gateways.size()];
            session = connectTo(gateway);
        }
        Outcome outcome { .id = std::to_string(number) + "-" + std::to_string(n), .once = random() % 2 == 0, .hasLongBody = n % m_options.longBodyPeriod == m_options.longBodyPeriod / 2, .isPublic = false, .key = noKey, .status = 0, .wrongBody = false, .cutBody = false, .oddHead = {}, .connected = false, .gateway = gateway, .sent = Common::TimePoint(std::chrono::steady_clock::now()), .ended = {} };
        auto fields = m_options.vary ? m_options.vary(random, outcome) : HeaderFields();
        if (!exchange(*session, m_options, fields, outcome))
            session.reset();
        outcome.ended = Common::TimePoint(std::chrono::steady_clock::now());
        {
            std::lock_guard lock(m_mutex);
            m_outcomes.push_back(outcome);
        }
        std::this_thread::sleep_for(m_options.pause);
    }
}

int statusOf(const std::string& address, const std::string& target, const HeaderFields& fields)
{
    try {
        HTTPClientSession session { Poco::Net::SocketAddress(address) };
        session.setTimeout(Poco::Timespan(1, 0));
        Poco::Net::HTTPRequest request("GET", target, "HTTP/1.1");
        request.set("Host", "host.example");
        for (const auto& [name, value] : fields)
            request.add(name, value);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus();
    } catch (const Poco::Exception&) {
        return 0; // nobody answers
    }
}

}
