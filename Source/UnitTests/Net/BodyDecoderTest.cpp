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
    std::string rest; // what belongs to the next message
};

constexpr std::size_t maxBytes = 64;

const Case cases[] = {
    { "length", Framing::Length, State::Complete, 3, "abcGET", "abc", "GET" },
    { "short of its length", Framing::Length, State::NeedsMore, 4, "abc", "abc", "" },
    { "too long by its length", Framing::Length, State::TooLarge, 65, "", "", "" },
    { "chunks", Framing::Chunked, State::Complete, 0, "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nGET", "abcde", "GET" },
    { "trailers are dropped", Framing::Chunked, State::Complete, 0, "1\r\na\r\n0\r\nX: y\r\n\r\n", "a", "" },
    { "no size", Framing::Chunked, State::Malformed, 0, "\r\nabc", "", "abc" },
    { "size is no number", Framing::Chunked, State::Malformed, 0, "3x\r\nabc\r\n", "", "abc\r\n" },
    { "chunk longer than its size", Framing::Chunked, State::Malformed, 0, "2\r\nabc\r\n", "ab", "" },
    { "chunks too large", Framing::Chunked, State::TooLarge, 0, "41\r\n" + std::string(65, 'a'), "", "" },
    { "until the end", Framing::UntilClose, State::NeedsMore, 0, "abc", "abc", "" },
    { "none", Framing::None, State::Complete, 0, "GET", "", "GET" },
};

}

TEST_CASE("Bodies")
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

TEST_CASE("A body until the end is complete with the end, any other is cut")
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

TEST_CASE("Chunks are read the same however they arrive")
{
    rc::check("split anywhere", [] {
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
}
