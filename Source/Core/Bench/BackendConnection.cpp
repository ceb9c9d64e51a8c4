#include "Bench/BackendConnection.h"

#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "Bench/HttpText.h"

namespace Bench {

namespace {

    namespace Asio = boost::asio;

}

BackendConnection::BackendConnection(Asio::ip::tcp::socket socket, BackendServer& server)
    : m_socket(std::move(socket))
    , m_timer(server.loop().context())
    , m_server(server.shared_from_this())
{
    ErrorCode ignored;
    m_socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
}

void BackendConnection::start(Common::Duration acceptDelay)
{
    if (acceptDelay <= Common::Duration::zero())
        return read();
    m_timer.expires_after(acceptDelay);
    m_timer.async_wait([self = shared_from_this()](const ErrorCode& ec) {
        if (!ec && !self->m_ended)
            self->read();
    });
}

void BackendConnection::read()
{
    // Always reading, also while a request is served: the end of the connection cancels it.
    m_socket.async_read_some(Asio::buffer(m_piece), [self = shared_from_this()](const ErrorCode& ec, std::size_t n) {
        if (self->m_ended)
            return;
        if (self->m_silent && !ec)
            return self->read();
        if (ec)
            return self->end();
        self->m_input.append(self->m_piece.data(), n);
        self->received();
        self->read();
    });
}

void BackendConnection::received()
{
    auto headBytes = headLength(m_input);
    if (m_busy || !headBytes)
        return;
    auto length = contentLength(std::string_view(m_input).substr(0, *headBytes)).value_or(0);
    if (m_input.size() >= *headBytes + length)
        serve(*headBytes);
}

void BackendConnection::serve(std::size_t headBytes)
{
    m_busy = true;
    auto head = m_input.substr(0, headBytes);
    m_input.erase(0, headBytes + contentLength(head).value_or(0));
    auto first = head.find(' ');
    BackendCall call {
        .id = std::string(headerValue(head, "Idempotency-Key")),
        .path = head.substr(first + 1, head.find(' ', first + 1) - first - 1),
        .deadline = {},
        .retry = toInteger(headerValue(head, "Cowslipledge-Retry")),
    };
    auto kind = call.path == "/probe" ? WorkKind::Probe : WorkKind::Call;
    if (auto leftMs = toInteger(headerValue(head, "Cowslipledge-Deadline-Ms")); leftMs > 0)
        call.deadline = Common::TimePoint(std::chrono::steady_clock::now()) + std::chrono::milliseconds(leftMs);
    m_server->enqueue({ .kind = kind, .connection = weak_from_this(), .call = std::move(call) });
}

std::string BackendConnection::headText(const BackendAnswerText& answer, std::string_view length)
{
    return fmt::format("HTTP/1.1 {} -\r\n{}{}{}\r\n\r\n", answer.status, m_server->stateHeaders(), answer.provenNotRun ? "Cowslipledge-Not-Run: 1\r\n" : "", length);
}

void BackendConnection::answer(const BackendAnswerText& text)
{
    if (m_silent || m_ended)
        return;
    if (const auto* late = m_server->draw(FaultKind::LateAnswers)) {
        m_timer.expires_after(late->delay);
        m_timer.async_wait([self = shared_from_this(), text](const ErrorCode& ec) {
            if (!ec && !self->hasEnded())
                self->write(self->headText(text, fmt::format("Content-Length: {}", text.body.size())) + text.body, false);
        });
        return;
    }
    auto half = text.body.substr(0, text.body.size() / 2);
    if (m_server->draw(FaultKind::CutChunkedAnswers))
        return write(headText(text, "Transfer-Encoding: chunked") + fmt::format("{:x}\r\n{}\r\n", half.size(), half), true);
    auto head = headText(text, fmt::format("Content-Length: {}", text.body.size()));
    if (m_server->draw(FaultKind::ResetAnswers))
        return writeThenReset(head + half);
    if (m_server->draw(FaultKind::CutAnswers))
        return write(head + half, true);
    write(head + text.body, false);
}

void BackendConnection::write(std::string text, bool thenEnd)
{
    m_output = std::move(text);
    Asio::async_write(m_socket, Asio::buffer(m_output), [self = shared_from_this(), thenEnd](const ErrorCode& ec, std::size_t) {
        if (self->m_ended)
            return;
        if (ec || thenEnd)
            return self->end();
        self->m_busy = false;
        self->received();
    });
}

void BackendConnection::writeThenReset(const std::string& text)
{
    ErrorCode ignored;
    Asio::write(m_socket, Asio::buffer(text), ignored);
    reset();
}

void BackendConnection::reset()
{
    ErrorCode ignored;
    m_socket.set_option(Asio::socket_base::linger(true, 0), ignored);
    end();
}

void BackendConnection::end()
{
    if (m_ended)
        return;
    m_ended = true;
    ErrorCode ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    m_server->ended(shared_from_this());
}

}
