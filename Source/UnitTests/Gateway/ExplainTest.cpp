#include "GatewayWorld.h"

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
using UnitTests::GatewayWorld;
using UnitTests::requestBytes;

struct FileClose {
    void operator()(std::FILE* file) const { std::fclose(file); }
};

// A log that is read back as a whole.
class LogFile {
public:
    int descriptor() const { return fileno(m_file.get()); }
    std::string text() const
    {
        std::string bytes;
        char buf[4096];
        std::rewind(m_file.get());
        for (std::size_t n = 0; (n = std::fread(buf, 1, sizeof buf, m_file.get())) > 0;)
            bytes.append(buf, n);
        return bytes;
    }

private:
    std::unique_ptr<std::FILE, FileClose> m_file { std::tmpfile() };
};

struct Case {
    std::string what;
    ServerMode mode; // of the only server
    int status;
    std::string method;
    std::string target;
    std::vector<std::string> tells; // what the explanation has to name
};

const Case cases[] = {
    { "refused although a server looked free", ServerMode::Sheds, 503, "POST", "/once/x", { "call-retried", "cause=the server turned it away unrun", "call-refused", "cause=no server answers", "retry_after_s=" } },
    { "given up at the route's timeout", ServerMode::Hangs, 504, "POST", "/once/x", { "call-failed", "cause=no answer in time", "server=server-1", "report_ms=" } },
    { "failed by its server", ServerMode::Fails, 500, "GET", "/safe/x", { "call-answered", "status=500", "cause=the server failed" } },
};

}

TEST_CASE("From a failed request's id to its cause, by logs alone")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        LogFile log;
        {
            GatewayWorld world(1);
            auto gateway = world.gateway({}, "127.0.0.1:0", log.descriptor());
            REQUIRE(gateway->waitReady());
            world.setMode(0, row.mode);
            REQUIRE(gateway->call(requestBytes(row.method, row.target, "the-one")).status == row.status);
            gateway->call(requestBytes(row.method, row.target, "another"));
        }
        std::istringstream lines("a line of something else\n" + log.text());
        auto text = Operator::explainRequest("the-one", lines);
        CAPTURE(text);
        for (const auto& fact : row.tells)
            CHECK(text.find(fact) != std::string::npos);
        CHECK(text.find("server-added") != std::string::npos);
    }
}

TEST_CASE("A request that no line names is not explained")
{
    std::istringstream lines("{\"fields\":{\"request\":\"x\"},\"name\":\"call-failed\",\"process\":\"p\",\"time_ms\":1}\n{\"fields\":3}\n{\"fields\":{\"request\":{}},\"time_ms\":\"x\",\"name\":[]}\nnonsense\n");
    CHECK(Operator::explainRequest("y", lines).empty());
}

TEST_CASE("A log that nobody reads holds up nothing and loses whole lines only")
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

TEST_CASE("A gateway whose log nobody reads serves on")
{
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    {
        GatewayWorld world(1);
        world.setMode(0, ServerMode::Sheds);
        auto gateway = world.gateway({}, "127.0.0.1:0", ends[1]);
        REQUIRE(gateway->waitReady());
        for (int i = 0; i < 400; ++i)
            gateway->call(requestBytes("POST", "/once/x", "s" + std::to_string(i)));
        world.setMode(0, ServerMode::Serving);
        CHECK(gateway->call(requestBytes("POST", "/once/x", "last")).status == 200);
    }
    ::close(ends[0]);
    ::close(ends[1]);
}
