#pragma once

#include <functional>
#include <span>
#include <string>

#include <json/json.h>

#include "Decisions/ServerPool.h"

namespace Traces {

// Takes one finished line of a trace.
using TraceSink = std::function<void(std::string line)>;

// A server pool that writes down everything that goes in, each look at the clock and each random number included, and
// every choice that comes out, so that the run can be repeated. Without a sink it only passes on. Not thread-safe.
class PoolRecorder {
public:
    PoolRecorder(const Decisions::PoolOptions&, const Common::Hooks&, TraceSink);

    void setOptions(const Decisions::PoolOptions&);
    void setServers(std::span<const Decisions::ServerSpec>);
    std::optional<Decisions::Ticket> choose(std::span<const std::string> exclude);
    void finish(const Decisions::Ticket&, const Decisions::AttemptReport&);
    std::optional<Decisions::Ticket> beginProbe();
    void finishProbe(const Decisions::Ticket&, const Decisions::AttemptReport&);
    void applyHint(const Decisions::ServerHint&);

    std::vector<Decisions::ServerHint> takeHints() { return m_pool.takeHints(); }
    std::vector<Decisions::PoolEvent> takeEvents() { return m_pool.takeEvents(); }
    std::vector<Decisions::ServerView> view() const { return m_pool.view(); }

private:
    struct Draws; // what the hooks gave during one operation

    Decisions::PoolOptions watched(Decisions::PoolOptions) const;
    Common::Hooks watched(const Common::Hooks&) const;
    void write(const char* operation, const std::function<void(Json::Value&)>& fill);

    TraceSink m_sink;
    std::shared_ptr<Draws> m_draws;
    Decisions::ServerPool m_pool;
};

}
