#include <memory>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnection.h>

#include "Entry/CallerConnection.h"
#include "Entry/CallerSocket.h"
#include "Targets.h"

namespace Fuzz {

namespace {

    // Last filter of the chain: answers with the size of the received body.
    void answerRequest(Requests::Call& call, const Requests::Next&)
    {
        constexpr int ok = 200;
        call.code = Common::ResultCode::Ok;
        call.outcome = Common::Outcome::Answered;
        call.answer = { .status = ok, .headers = {}, .body = std::to_string(call.body.size()) };
    }

    std::string readAll(Poco::Net::StreamSocket& socket)
    {
        std::string text;
        std::array<char, 4096> buf {};
        try {
            for (auto n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size())); n > 0; n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size())))
                text.append(buf.data(), static_cast<std::size_t>(n));
        } catch (const Poco::Exception&) {
            return text;
        }
        return text;
    }

}

// Invariant: for any input, the caller receives either nothing or HTTP/1.1 answers with an outcome header.
void runCaller(const std::string& input)
{
    constexpr std::size_t maxInput = 16 * 1024; // fits into the socket buffers, so that one thread can act as client and server
    if (input.size() > maxInput)
        return;
    static Entry::CallerServerSocket* listener = [] {
        auto* socket = new Entry::CallerServerSocket;
        socket->bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        socket->listen();
        return socket;
    }();
    Requests::FilterChain chain({ answerRequest });
    Settings::CallerLimits limits { .headBytes = 1024, .bodyBytes = 1024, .headTimeoutMs = 1000, .idleTimeoutMs = 1000 };
    Entry::CallerContext context(limits, Common::systemHooks(), chain);
    context.page = [](const auto&, const auto&) { return std::optional<Entry::Page>(); };
    Poco::Net::StreamSocket caller(listener->address());
    auto connection = Entry::callerConnectionFactory(context, new Poco::Net::HTTPServerParams)->createConnection(listener->acceptConnection());
    if (!input.empty())
        caller.sendBytes(input.data(), static_cast<int>(input.size()));
    caller.shutdownSend();
    connection->run();
    delete connection;
    auto answers = readAll(caller);
    require(answers.empty() || answers.starts_with("HTTP/1.1 "), "answer does not start with \"HTTP/1.1 \"");
    require(answers.empty() || answers.find("Cowslipledge-Outcome: ") != std::string::npos || answers.starts_with("HTTP/1.1 100"),
        "answer has no Cowslipledge-Outcome header");
    require(context.inFlight == 0 && context.connections.count() == 0, "calls or connections left open after the connection ended");
}

}
