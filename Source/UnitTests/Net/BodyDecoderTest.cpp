#include "Net/BodyDecoder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Net::BodyDecoder;
using Net::Framing;
using State = Net::BodyDecoder::State;

struct Case {
    std::string what;
    Framing framing;
    State state;
    std::size_t length;
    std::string bytes;
    std::string body;
    std::string rest; // bytes left in the input: the start of the next message
};

constexpr std::size_t maxBytes = 64;

const Case cases[] = {
    { "Content-Length", Framing::Length, State::Complete, 3, "abcGET", "abc", "GET" },
    { "fewer bytes than Content-Length", Framing::Length, State::NeedsMore, 4, "abc", "abc", "" },
    { "Content-Length above the limit", Framing::Length, State::TooLarge, 65, "", "", "" },
    { "chunked", Framing::Chunked, State::Complete, 0, "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nGET", "abcde", "GET" },
    { "trailers are dropped", Framing::Chunked, State::Complete, 0, "1\r\na\r\n0\r\nX: y\r\n\r\n", "a", "" },
    { "missing chunk size", Framing::Chunked, State::Malformed, 0, "\r\nabc", "", "abc" },
    { "chunk size is not a number", Framing::Chunked, State::Malformed, 0, "3x\r\nabc\r\n", "", "abc\r\n" },
    { "chunk longer than its size", Framing::Chunked, State::Malformed, 0, "2\r\nabc\r\n", "ab", "" },
    { "chunk data above the limit", Framing::Chunked, State::TooLarge, 0, "41\r\n" + std::string(65, 'a'), "", "" },
    { "until close", Framing::UntilClose, State::NeedsMore, 0, "abc", "abc", "" },
    { "no body", Framing::None, State::Complete, 0, "GET", "", "GET" },
};

}

TEST_CASE("BodyDecoder decodes each framing and rejects invalid bodies")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        BodyDecoder decoder(row.framing, row.length, maxBytes);
        auto bytes = row.bytes;
        CHECK(decoder.feed(bytes) == row.state);
        CHECK(decoder.takeBody() == row.body);
        CHECK(bytes == row.rest);
    }
}

TEST_CASE("End of stream completes an UntilClose body and makes a Content-Length body malformed")
{
    BodyDecoder open(Framing::UntilClose, 0, maxBytes);
    std::string bytes = "abc";
    open.feed(bytes);
    CHECK(open.end() == State::Complete);
    BodyDecoder cut(Framing::Length, 4, maxBytes);
    bytes = "abc";
    cut.feed(bytes);
    CHECK(cut.end() == State::Malformed);
}

TEST_CASE("A chunked body decodes the same however its bytes are split across reads")
{
    auto held = rc::check("split anywhere", [] {
        auto body = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        std::string bytes;
        for (std::size_t i = 0; i < body.size(); i += 7) {
            auto piece = body.substr(i, 7);
            bytes += std::to_string(piece.size()) + "\r\n" + piece + "\r\n";
        }
        bytes += "0\r\n\r\n";
        BodyDecoder decoder(Framing::Chunked, 0, 1 << 20);
        std::string pending;
        for (std::size_t i = 0; i < bytes.size();) {
            auto n = *rc::gen::inRange<std::size_t>(1, 9);
            pending += bytes.substr(i, n);
            i += n;
            decoder.feed(pending);
        }
        RC_ASSERT(decoder.state() == State::Complete);
        RC_ASSERT(decoder.takeBody() == body);
        RC_ASSERT(pending.empty());
    });
    CHECK(held);
}
