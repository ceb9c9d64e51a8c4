#include "Peers/MessageSeal.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Decisions/Membership.h"
#include "Peers/GossipCodec.h"
#include "Peers/GossipSocket.h"

namespace {

using Peers::MessageSeal;
using Peers::Purpose;
using Peers::Refusal;

constexpr auto key = "a key shared by all";
constexpr std::int64_t startMs = 1'000'000;

MessageSeal makeSeal(const std::string& self, std::int64_t& nowMs, const std::string& sealKey = key, std::uint64_t run = 1)
{
    return MessageSeal({ .key = sealKey, .self = self, .run = run, .wallMs = [&nowMs] { return nowMs; } });
}

struct BadCase {
    const char* what;
    Refusal refusal;
    std::function<std::string(std::int64_t& nowMs)> bytes; // a message to "b"
};

const BadCase badCases[] = {
    { "empty", Refusal::Malformed, [](auto&) { return std::string(); } },
    { "other key", Refusal::BadSignature, [](auto& nowMs) { return makeSeal("a", nowMs, "some other key").seal(Purpose::Gossip, "b", "x"); } },
    { "changed byte", Refusal::BadSignature, [](auto& nowMs) {
         auto bytes = makeSeal("a", nowMs).seal(Purpose::Gossip, "b", "x");
         bytes[3] ^= 1;
         return bytes; } },
    { "other receiver", Refusal::WrongReceiver, [](auto& nowMs) { return makeSeal("a", nowMs).seal(Purpose::Gossip, "c", "x"); } },
    { "other purpose", Refusal::WrongReceiver, [](auto& nowMs) { return makeSeal("a", nowMs).seal(Purpose::Request, "b", "x"); } },
    { "too old", Refusal::OutOfTime, [](auto& nowMs) {
         auto bytes = makeSeal("a", nowMs).seal(Purpose::Gossip, "b", "x");
         nowMs += 61'000;
         return bytes; } },
    { "from the future", Refusal::OutOfTime, [](auto& nowMs) {
         nowMs += 61'000;
         auto bytes = makeSeal("a", nowMs).seal(Purpose::Gossip, "b", "x");
         nowMs -= 61'000;
         return bytes; } },
};

Decisions::GossipMessage sampleMessage()
{
    return {
        .kind = Decisions::GossipKind::Ack,
        .sequence = 9,
        .subject = "10.0.0.3:81",
        .sender = { .peerAddress = "10.0.0.1:81", .address = "10.0.0.1:80", .failureDomain = "a", .incarnation = 5, .leaving = true, .ready = false, .unavailableServices = { 1, 2 } },
        .headRevision = 7,
        .clock = 1ULL << 60,
        .updates = { { .peerAddress = "10.0.0.2:81", .address = "", .failureDomain = "b", .incarnation = 6, .state = Decisions::MemberState::Failed } },
        .hints = { { .service = "puzzle", .server = "10.1.0.1:80", .kind = Decisions::HintKind::Draining, .incarnation = 3 } },
    };
}

}

TEST_CASE("messages that are not sound are refused and counted by reason")
{
    for (const auto& bad : badCases) {
        CAPTURE(bad.what);
        auto nowMs = startMs;
        auto receiver = makeSeal("b", nowMs);
        auto bytes = bad.bytes(nowMs);
        CHECK_FALSE(receiver.open(Purpose::Gossip, bytes).has_value());
        CHECK(receiver.refused(bad.refusal) == 1);
        CHECK(receiver.refusedInAll() == 1);
    }
}

TEST_CASE("each message is taken once, in any order, and none of an earlier run")
{
    auto nowMs = startMs;
    auto sender = makeSeal("a", nowMs);
    auto receiver = makeSeal("b", nowMs);
    std::vector<std::string> sent;
    for (int i = 0; i < 200; ++i)
        sent.push_back(sender.seal(Purpose::Gossip, "b", std::to_string(i)));
    std::swap(sent.front(), sent.back());
    for (const auto& bytes : sent)
        CHECK(receiver.open(Purpose::Gossip, bytes).has_value());
    for (const auto& bytes : sent)
        CHECK_FALSE(receiver.open(Purpose::Gossip, bytes).has_value());
    CHECK(receiver.refused(Refusal::Replayed) == 200);
    auto late = sender.seal(Purpose::Gossip, "b", "late");
    auto restarted = makeSeal("a", nowMs, key, 2);
    CHECK(receiver.open(Purpose::Gossip, restarted.seal(Purpose::Gossip, "b", "new")).has_value());
    CHECK_FALSE(receiver.open(Purpose::Gossip, late).has_value());
}

TEST_CASE("no change of a sealed message passes")
{
    auto held = rc::check([] {
        auto nowMs = startMs;
        auto receiver = makeSeal("b", nowMs);
        auto bytes = makeSeal("a", nowMs).seal(Purpose::Gossip, "b", *rc::gen::arbitrary<std::string>());
        auto changed = bytes;
        auto at = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(bytes.size())));
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            changed[at] = static_cast<char>(changed[at] ^ *rc::gen::inRange(1, 256));
            break;
        case 1:
            changed.resize(at);
            break;
        default:
            changed += *rc::gen::nonEmpty<std::string>();
        }
        RC_ASSERT_FALSE(receiver.open(Purpose::Gossip, changed).has_value());
        RC_ASSERT(receiver.refusedInAll() == 1U);
    });
    CHECK(held);
}

TEST_CASE("gossip is read back as written")
{
    auto message = sampleMessage();
    auto bytes = Peers::encodeGossip(message);
    auto read = Peers::decodeGossip(bytes);
    REQUIRE(read.has_value());
    CHECK(Peers::encodeGossip(read.value()) == bytes);
    CHECK(read.value().sender == message.sender);
    CHECK(read.value().updates == message.updates);
    CHECK(read.value().hints.front().kind == Decisions::HintKind::Draining);
    CHECK(read.value().clock == message.clock);
    CHECK(read.value().subject == message.subject);
}

TEST_CASE("no bytes upset the decoder, and no prefix passes for a message")
{
    auto whole = Peers::encodeGossip(sampleMessage());
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(Peers::decodeGossip(whole.substr(0, size)).has_value());
    CHECK_FALSE(Peers::decodeGossip(whole + "x").has_value());
    auto held = rc::check([&] {
        auto bytes = whole;
        for (int i = *rc::gen::inRange(1, 20); i > 0; --i)
            bytes[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(bytes.size())))] = *rc::gen::arbitrary<char>();
        auto read = Peers::decodeGossip(bytes);
        if (read)
            RC_ASSERT(Peers::encodeGossip(read.value()).size() == bytes.size());
    });
    CHECK(held);
}

TEST_CASE("the size bounds of records and hints are upper bounds, and the fullest message fits one datagram")
{
    auto message = sampleMessage();
    auto before = Peers::encodeGossip(message).size();
    message.updates.push_back(message.sender);
    message.hints.push_back(message.hints.front());
    auto added = Peers::encodeGossip(message).size() - before;
    CHECK(added <= Decisions::encodedBytes(message.sender) + Decisions::encodedBytes(message.hints.front()));
    // Kind, sequence, subject, head, clock and two counts.
    constexpr std::size_t headBytes = 1 + 8 + 22 + 8 + 8 + 2;
    CHECK(Decisions::MembershipOptions {}.payloadBytes + headBytes + MessageSeal::overheadBytes <= Peers::maxDatagramBytes);
}
