#include "Controllers/Members.h"

#include <doctest/doctest.h>

#include "Peers/GossipCodec.h"

namespace {

using Controllers::Members;

constexpr auto key = "a key shared by all";

// Waits for other threads; generous, since nothing is measured here.
bool eventually(const std::function<bool()>& condition)
{
    constexpr int attempts = 3000;
    for (int i = 0; i < attempts; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

struct TestEntry {
    explicit TestEntry(const std::string& domain, const std::string& sharedKey = key)
        : members({ .hooks = Common::systemHooks(), .peerAddress = "127.0.0.1:0", .failureDomain = domain, .sharedKey = sharedKey, .onHead = [this](auto revision, const auto&) { members.setHead(revision); head = revision; }, .onHint = [this](const auto& hint) { if (hint.kind == Decisions::HintKind::Draining) ++hints; } }, log)
    {
        REQUIRE(members.bind().has_value());
        members.addMethod("echo", [](const Json::Value& parameters) { return parameters; });
        members.addMethod("fail", [](const Json::Value&) -> Json::Value { throw std::runtime_error("out of order"); });
        members.setServices({ { "puzzle", 25 } });
    }

    Platform::Instance instance() const { return { .address = address, .kind = Platform::InstanceKind::Entry, .pool = {}, .failureDomain = "?", .peerAddress = members.peerAddress() }; }

    std::string address = "127.0.0.1:1";
    std::atomic<std::uint64_t> head { 0 };
    std::atomic<int> hints { 0 };
    Common::EventLog log { { .process = "test", .format = Common::LogFormat::Off } };
    Members members; // last: its threads use the others
};

}

TEST_CASE("entries meet over loopback, share heads and hints, and a leaving one is no longer named")
{
    TestEntry entries[3] = { TestEntry("a"), TestEntry("b"), TestEntry("b") };
    const std::vector<Platform::Instance> listed { entries[0].instance() };
    int port = 1;
    for (auto& entry : entries) {
        entry.address = "127.0.0.1:" + std::to_string(port++);
        entry.members.setInstances(listed);
        entry.members.start(entry.address);
    }
    for (auto& entry : entries)
        CHECK(eventually([&] { return entry.members.directory("puzzle").size() == 3; }));
    CHECK(entries[0].members.directory("puzzle").front().failureDomain == "a");
    CHECK(entries[1].members.directory("puzzle").front().failureDomain == "b");
    CHECK(entries[0].members.directory("unknown").empty());
    CHECK(eventually([&] { return entries[0].members.share("puzzle").maxRecentCarriers == 3; }));

    entries[0].members.setHead(7);
    entries[1].members.publishHint({ .service = "puzzle", .server = "10.0.0.1:80", .kind = Decisions::HintKind::Draining, .incarnation = 1 });
    CHECK(eventually([&] { return entries[1].head == 7 && entries[2].head == 7 && entries[0].hints == 1 && entries[2].hints == 1; }));

    entries[2].members.announceLeaving();
    auto knowsOfLeaving = [&] {
        auto view = entries[0].members.view();
        return std::none_of(view->begin(), view->end(), [&](const auto& member) { return member.record.address == entries[2].address && !member.record.leaving; });
    };
    CHECK(eventually(knowsOfLeaving));
    // At once, not only when carriers are assigned again.
    CHECK(entries[0].members.directory("puzzle").size() == 2);
    for (auto& entry : entries)
        CHECK(eventually([&] { return entry.members.directory("puzzle").size() == 2; }));
    entries[1].members.setAvailability(true, { "puzzle" });
    CHECK(eventually([&] { return entries[0].members.directory("puzzle").size() == 1; }));
    for (auto& entry : entries)
        entry.members.stop();
}

TEST_CASE("peers call one another; errors and strangers are told apart")
{
    TestEntry server("a");
    TestEntry client("a");
    TestEntry stranger("a", "some other shared key");
    server.members.start("127.0.0.1:1");
    auto address = server.members.peerAddress();
    Json::Value parameters;
    parameters["revision"] = Json::UInt64(1) << 60;
    auto answer = client.members.client().call(address, "echo", parameters);
    REQUIRE(answer.has_value());
    CHECK(answer.value() == parameters);
    auto failed = client.members.client().call(address, "fail", {});
    REQUIRE_FALSE(failed.has_value());
    CHECK(failed.error().text.find("out of order") != std::string::npos);
    CHECK_FALSE(client.members.client().call(address, "unknown", {}).has_value());
    auto refused = stranger.members.client().call(address, "echo", parameters);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == Common::ResultCode::PeerRefused);
    CHECK(server.members.refused() == 1);
    server.members.stop();
    auto unreachable = client.members.client().call(address, "echo", parameters);
    REQUIRE_FALSE(unreachable.has_value());
    CHECK(unreachable.error().code == Common::ResultCode::PeerUnreachable);
}

TEST_CASE("stray, forged and replayed datagrams are counted and change nothing")
{
    TestEntry entry("a");
    entry.members.start("127.0.0.1:1");
    auto address = entry.members.peerAddress();
    Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"), false);
    auto send = [&](const std::string& bytes) { socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(address)); };
    Decisions::GossipMessage message;
    message.sender = { .peerAddress = "127.0.0.1:9", .incarnation = 1 };
    Peers::MessageSeal forger({ .key = "not the shared key", .self = message.sender.peerAddress, .run = 1, .wallMs = Common::wallMilliseconds });
    Peers::MessageSeal impostor({ .key = key, .self = "127.0.0.1:8", .run = 1, .wallMs = Common::wallMilliseconds });
    Peers::MessageSeal peer({ .key = key, .self = message.sender.peerAddress, .run = 1, .wallMs = Common::wallMilliseconds });
    auto payload = Peers::encodeGossip(message);
    std::uint64_t expected = 0;
    for (const auto& bytes : { std::string("x"), std::string(1500, 'y'), std::string(), forger.seal(Peers::Purpose::Gossip, address, payload), impostor.seal(Peers::Purpose::Gossip, address, payload), peer.seal(Peers::Purpose::Gossip, address, "no message") }) {
        send(bytes);
        CHECK(eventually([&, wanted = expected + 1] { return entry.members.refused() == wanted; }));
        ++expected;
    }
    CHECK(entry.members.view()->size() == 1);
    auto valid = peer.seal(Peers::Purpose::Gossip, address, payload);
    send(valid);
    CHECK(eventually([&] { return entry.members.view()->size() == 2; }));
    auto received = entry.members.traffic().messagesReceived;
    send(valid);
    CHECK(eventually([&] { return entry.members.refused() == expected + 1; }));
    CHECK(entry.members.traffic().messagesReceived == received);
    entry.members.stop();
}
