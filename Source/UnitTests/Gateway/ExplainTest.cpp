#include "GatewayFixture.h"
#include "LogFile.h"

#include <cstdio>
#include <memory>
#include <sstream>
#include <vector>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include "Common/LogWriter.h"
#include "Operator/ExplainCommand.h"

namespace {

using PlatformStandIn::ServerMode;
using UnitTests::GatewayFixture;
using UnitTests::LogFile;
using UnitTests::requestBytes;

struct Case {
    std::string what;
    ServerMode mode; // of the only server
    int status;
    std::string method;
    std::string target;
    std::vector<std::string> expectedTexts; // texts that the explanation must contain
};

const Case cases[] = {
    { "rejected by the only server: refused with 503", ServerMode::Sheds, 503, "POST", "/once/x", { "call-retried", "cause=the server rejected the request without executing it", "call-refused", "cause=no server answered a load probe", "retry_after_s=" } },
    { "no response from the server: 504 at the deadline", ServerMode::Hangs, 504, "POST", "/once/x", { "call-failed", "cause=no response before the deadline", "server=server-1", "report_ms=" } },
    { "error response of the server passed on", ServerMode::Fails, 500, "GET", "/safe/x", { "call-answered", "status=500", "cause=the server answered with a 5xx status" } },
};

}

TEST_CASE("The log alone explains a failed request by its id")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        LogFile log;
        {
            GatewayFixture fixture(1);
            auto gateway = fixture.gateway({}, "127.0.0.1:0", log.descriptor());
            REQUIRE(gateway->waitReady());
            fixture.setMode(0, row.mode);
            REQUIRE(gateway->call(requestBytes(row.method, row.target, "the-one")).status == row.status);
            gateway->call(requestBytes(row.method, row.target, "another"));
        }
        std::istringstream lines("a line of something else\n" + log.text());
        auto text = Operator::explainRequest("the-one", lines);
        CAPTURE(text);
        for (const auto& expectedText : row.expectedTexts)
            CHECK(text.find(expectedText) != std::string::npos);
        CHECK(text.find("server-added") != std::string::npos);
    }
}

TEST_CASE("A request id that no log line contains gives an empty explanation, also with malformed lines")
{
    std::istringstream lines("{\"fields\":{\"request\":\"x\"},\"name\":\"call-failed\",\"process\":\"p\",\"time_ms\":1}\n{\"fields\":3}\n{\"fields\":{\"request\":{}},\"time_ms\":\"x\",\"name\":[]}\nnonsense\n");
    CHECK(Operator::explainRequest("y", lines).empty());
}

TEST_CASE("A log writer whose pipe nobody reads doesn't block and drops whole lines only")
{
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    Common::LogWriter writer({ .descriptor = ends[1], .bufferBytes = 4096 });
    for (int i = 0; i < 10000; ++i) {
        writer.append("line " + std::to_string(i));
        writer.flush();
    }
    CHECK(writer.dropped() > 0);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buf[4096];
    for (ssize_t n = 0; (n = ::read(ends[0], buf, sizeof buf)) > 0;)
        text.append(buf, static_cast<std::size_t>(n));
    CHECK(text.starts_with("line 0\nline 1\n"));
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("A gateway whose log pipe nobody reads keeps serving")
{
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    {
        GatewayFixture fixture(1);
        fixture.setMode(0, ServerMode::Sheds);
        auto gateway = fixture.gateway({}, "127.0.0.1:0", ends[1]);
        REQUIRE(gateway->waitReady());
        for (int i = 0; i < 400; ++i)
            gateway->call(requestBytes("POST", "/once/x", "s" + std::to_string(i)));
        fixture.setMode(0, ServerMode::Serving);
        CHECK(gateway->call(requestBytes("POST", "/once/x", "last")).status == 200);
    }
    ::close(ends[0]);
    ::close(ends[1]);
}
