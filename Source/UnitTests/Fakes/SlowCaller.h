#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "Net/BodyDecoder.h"
#include "Net/HttpMessage.h"

namespace UnitTests {

struct Received {
    bool isComplete = false; // the framing says that the body has ended
    int status = 0;
    std::string body;
};

// A caller that reads at most `bytesPerRead` at a time, with a pause after each read.
struct Reading {
    int receiveBuffer = 0; // bytes; 0: the kernel's default
    int bytesPerRead = 64 * 1024;
    std::chrono::milliseconds pause { 0 };
};

class SlowCaller {
public:
    SlowCaller(const std::string& address, const Reading& reading)
        : m_reading(reading)
    {
        Poco::Net::SocketAddress to(address);
        if (reading.receiveBuffer > 0)
            m_socket.setReceiveBufferSize(reading.receiveBuffer);
        m_socket.connect(to);
        m_socket.setReceiveTimeout(Poco::Timespan(10, 0));
    }

    void send(const std::string& bytes) { m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }
    void close() { m_socket.close(); }

    Received receive()
    {
        Received received;
        std::optional<Net::BodyDecoder> decoder;
        std::string in;
        std::vector<char> buf(static_cast<std::size_t>(m_reading.bytesPerRead));
        constexpr std::size_t maxBytes = 64 * 1024 * 1024;
        for (;;) {
            int n = 0;
            try {
                n = m_socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            } catch (const Poco::Exception&) {
                n = -1; // reset
            }
            if (n > 0)
                in.append(buf.data(), static_cast<std::size_t>(n));
            if (auto size = decoder ? std::nullopt : Net::headSize(in)) {
                auto parsed = Net::parseResponseHead(in.substr(0, *size), true);
                if (!parsed.head)
                    return received;
                received.status = parsed.head->response.status;
                decoder.emplace(parsed.head->framing, parsed.head->length, maxBytes);
                in.erase(0, *size);
            }
            auto state = decoder ? decoder->feed(in) : Net::BodyDecoder::State::NeedsMore;
            if (n == 0 && decoder)
                state = decoder->end();
            if (state == Net::BodyDecoder::State::NeedsMore && n > 0) {
                std::this_thread::sleep_for(m_reading.pause);
                continue;
            }
            received.isComplete = state == Net::BodyDecoder::State::Complete;
            if (decoder)
                received.body = decoder->takeBody();
            return received;
        }
    }

private:
    Reading m_reading;
    Poco::Net::StreamSocket m_socket { Poco::Net::SocketAddress::IPv4 }; // open, so that options can be set before it connects
};

}
