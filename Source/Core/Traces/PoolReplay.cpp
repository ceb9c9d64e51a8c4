#include "Traces/PoolReplay.h"

#include <deque>
#include <map>
#include <memory>

#include <fmt/format.h>

#include "Traces/TraceJson.h"

namespace Traces {

namespace {

    // Gives recorded values again, in order.
    struct Recorded {
        std::deque<std::uint64_t> values;
        bool ranOut = false;

        void fill(const Json::Value& json)
        {
            values.clear();
            for (const auto& item : json)
                values.push_back(item.isInt64() ? static_cast<std::uint64_t>(item.asInt64()) : item.asUInt64());
        }

        std::uint64_t next()
        {
            if (values.empty()) {
                ranOut = true;
                return 0;
            }
            auto value = values.front();
            values.pop_front();
            return value;
        }
    };

    class Replay {
    public:
        ReplayResult run(std::istream& in)
        {
            std::string text;
            for (m_line = 1; std::getline(in, text); ++m_line) {
                if (!text.empty())
                    runLine(text);
            }
            return std::move(m_result);
        }

    private:
        void runLine(const std::string& text)
        {
            auto line = fromLine(text);
            if (!line)
                return fail("not a JSON object");
            try {
                if (line->isMember("do"))
                    runOperation(*line);
                else if (line->isMember("expect"))
                    runExpectation(*line);
                else if (!line->isMember("cause"))
                    fail("expected a member do, expect or cause");
            } catch (const Json::Exception& ec) {
                fail(ec.what());
            }
        }

        void runOperation(const Json::Value& line)
        {
            ++m_result.operations;
            m_now.fill(line["now"]);
            m_random.fill(line["random"]);
            m_clock.fill(line["clock"]);
            auto what = line["do"].asString();
            if (what == "create") {
                m_pool = std::make_unique<Decisions::ServerPool>(options(line), hooks());
                return;
            }
            if (!m_pool)
                return fail("expected a line create first");
            if (!runInput(what, line) && !runChoice(what, line))
                return fail("unknown operation " + what);
            if (m_now.ranOut || m_random.ranOut || m_clock.ranOut)
                fail("the decision asked for more time or randomness than it did when recorded");
            m_now.ranOut = m_random.ranOut = m_clock.ranOut = false;
        }

        bool runInput(const std::string& what, const Json::Value& line)
        {
            if (what == "options")
                m_pool->setOptions(options(line));
            else if (what == "servers")
                m_pool->setServers(decodeServers(line["servers"]));
            else if (what == "finish")
                m_pool->finish(ticketOf(line), decodeReport(line["report"]));
            else if (what == "finish-probe")
                m_pool->finishProbe(ticketOf(line), decodeReport(line["report"]));
            else if (what == "hint")
                m_pool->applyHint(decodeHint(line["hint"]));
            else
                return false;
            return true;
        }

        bool runChoice(const std::string& what, const Json::Value& line)
        {
            std::optional<Decisions::Ticket> ticket;
            if (what == "choose")
                ticket = m_pool->choose(decodeStrings(line["exclude"]));
            else if (what == "probe")
                ticket = m_pool->beginProbe();
            else
                return false;
            auto chose = ticket ? ticket->address : std::string();
            if (chose != line["chose"].asString())
                fail(fmt::format("chose \"{}\", recorded \"{}\"", chose, line["chose"].asString()));
            if (ticket)
                m_tickets[line["ticket"].asUInt64()] = *ticket;
            if (what == "choose")
                ++m_choices[chose];
            return true;
        }

        void runExpectation(const Json::Value& line)
        {
            auto server = line["server"].asString();
            if (line["expect"].asString() == "choices") {
                auto count = std::exchange(m_choices[server], 0);
                if (count > line["most"].asInt())
                    fail(fmt::format("{} was chosen {} times, expected at most {}", server, count, line["most"].asInt()));
                return;
            }
            if (!m_pool || line["expect"].asString() != "view")
                return fail("unknown expectation, or no pool yet");
            for (const auto& view : m_pool->view()) {
                if (view.address != server)
                    continue;
                compare(line, "ejected", view.ejected);
                compare(line, "leaving", view.leaving);
                compare(line, "takes_work", view.eligible);
                return;
            }
            fail("no server " + server);
        }

        void compare(const Json::Value& line, const char* key, bool found)
        {
            if (line.isMember(key) && line[key].asBool() != found)
                fail(fmt::format("{}: {} is {}, expected {}", line["server"].asString(), key, found, line[key].asBool()));
        }

        Decisions::PoolOptions options(const Json::Value& line)
        {
            auto options = decodeOptions(line["options"]);
            options.incarnationClock = [this] { return m_clock.next(); };
            return options;
        }

        Common::Hooks hooks()
        {
            return {
                .now = [this] { return Common::TimePoint(Common::Duration(static_cast<std::int64_t>(m_now.next()))); },
                .random = [this] { return m_random.next(); },
            };
        }

        Decisions::Ticket ticketOf(const Json::Value& line)
        {
            auto it = m_tickets.find(line["ticket"].asUInt64());
            if (it == m_tickets.end()) {
                fail("unknown ticket");
                return {};
            }
            auto ticket = it->second;
            m_tickets.erase(it);
            return ticket;
        }

        void fail(const std::string& text) { m_result.failures.push_back(fmt::format("line {}: {}", m_line, text)); }

        ReplayResult m_result;
        int m_line = 0;
        Recorded m_now;
        Recorded m_random;
        Recorded m_clock;
        std::unique_ptr<Decisions::ServerPool> m_pool;
        std::map<std::uint64_t, Decisions::Ticket> m_tickets; // by recorded number
        std::map<std::string, int> m_choices; // since the last expectation
    };

}

ReplayResult replayPool(std::istream& in)
{
    return Replay().run(in);
}

}
