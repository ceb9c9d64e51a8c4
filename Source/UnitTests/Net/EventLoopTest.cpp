#include <stdexcept>

#include <doctest/doctest.h>

#include <json/json.h>

#include "platform/StandIn/LoopThread.h"

// One unexpected error must not end a process that serves many others.
TEST_CASE("The loop goes on after a handler has thrown, and reports what it threw")
{
    PlatformStandIn::LoopThread thread;
    std::vector<std::string> errors;
    thread.call([&] {
        auto& loop = thread.loop();
        loop.onUnexpectedError([&](const std::string& what) { errors.push_back(what); });
        loop.post([] { throw std::runtime_error("posted"); });
        loop.defer([] { throw std::runtime_error("deferred"); });
        loop.after(std::chrono::milliseconds(1), [] { throw std::runtime_error("timer"); });
        loop.after(std::chrono::milliseconds(2), [] { throw Json::LogicError("not of Poco or std alone"); });
    });
    std::promise<void> done;
    thread.call([&] { thread.loop().after(std::chrono::milliseconds(20), [&] { done.set_value(); }); });
    done.get_future().wait();
    auto seen = thread.call([&] { return errors; });
    CHECK(seen.size() == 4);
}
