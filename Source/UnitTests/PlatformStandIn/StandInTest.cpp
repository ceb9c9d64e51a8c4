#include <functional>
#include <memory>

#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include "Soak/FaultProxy.h"
#include "platform/Names.h"
#include "platform/StandIn/LoopThread.h"
#include "platform/StandIn/Server.h"
#include "platform/StandIn/Store.h"

namespace {

using PlatformStandIn::LoopThread;
using std::chrono::milliseconds;

constexpr auto timerDelay = milliseconds(50);

// Creates a stand-in whose timer runs once it has got `request`; both are called on the loop's thread.
struct StandIn {
    std::function<std::string()> open; // returns its address
    std::function<void()> destroy;
    std::string request;
};

StandIn waitingStore(LoopThread& thread)
{
    auto store = std::make_shared<std::unique_ptr<PlatformStandIn::Store>>();
    return {
        .open = [&thread, store] {
            *store = std::make_unique<PlatformStandIn::Store>(thread.loop());
            return (*store)->address(); },
        .destroy = [store] { store->reset(); },
        .request = std::string("GET ") + PlatformAdapter::Names::feedPath + "?table=t&after=1&wait_ms=" + std::to_string(timerDelay.count()) + " HTTP/1.1\r\nHost: h\r\n\r\n",
    };
}

StandIn slowStore(LoopThread& thread)
{
    auto store = std::make_shared<std::unique_ptr<PlatformStandIn::Store>>();
    return {
        .open = [&thread, store] {
            *store = std::make_unique<PlatformStandIn::Store>(thread.loop());
            (*store)->setDelay(timerDelay);
            return (*store)->address(); },
        .destroy = [store] { store->reset(); },
        .request = std::string("GET ") + PlatformAdapter::Names::readPath + "?table=t HTTP/1.1\r\nHost: h\r\n\r\n",
    };
}

StandIn workingServer(LoopThread& thread)
{
    auto runs = std::make_shared<PlatformStandIn::ExecutionLog>();
    auto server = std::make_shared<std::unique_ptr<PlatformStandIn::Server>>();
    return {
        .open = [&thread, runs, server] {
            *server = std::make_unique<PlatformStandIn::Server>(thread.loop(), *runs, PlatformStandIn::ServerOptions { .id = "server-1", .work = timerDelay });
            return (*server)->address(); },
        .destroy = [server] { server->reset(); },
        .request = "GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n",
    };
}

StandIn delayingProxy(LoopThread& thread)
{
    auto store = std::make_shared<std::unique_ptr<PlatformStandIn::Store>>();
    auto proxy = std::make_shared<std::unique_ptr<Soak::FaultProxy>>();
    return {
        .open = [&thread, store, proxy] {
            *store = std::make_unique<PlatformStandIn::Store>(thread.loop());
            *proxy = std::make_unique<Soak::FaultProxy>(thread.loop(), (*store)->address());
            (*proxy)->setDelay(timerDelay);
            (*proxy)->setMode(Soak::ProxyMode::Delay);
            return (*proxy)->address(); },
        .destroy = [store, proxy] {
            proxy->reset();
            store->reset(); },
        .request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    };
}

struct StandInCase {
    const char* name;
    StandIn (*make)(LoopThread&);
};

const StandInCase standInCases[] = {
    { "a store with a pending change feed", waitingStore },
    { "a store with a delayed answer", slowStore },
    { "a server with a request in progress", workingServer },
    { "a proxy with delayed bytes", delayingProxy },
};

}

// The sanitizers report a timer that runs after its owner is gone.
TEST_CASE("A stand-in that is destroyed leaves no timer behind")
{
    for (const auto& row : standInCases) {
        CAPTURE(row.name);
        LoopThread thread;
        auto standIn = row.make(thread);
        auto address = thread.call([&] { return standIn.open(); });
        Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(address) };
        socket.sendBytes(standIn.request.data(), static_cast<int>(standIn.request.size()));
        std::this_thread::sleep_for(timerDelay / 2);
        thread.call([&] { standIn.destroy(); });
        std::this_thread::sleep_for(timerDelay * 2);
        auto isRunning = thread.call([] { return true; });
        CHECK(isRunning);
    }
}
