#include "Requests/DuplicateFilter.h"

#include <array>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include "Common/Hash.h"

namespace Requests {

namespace {

    using Common::ResultCode;
    using Decisions::DuplicateAction;

    // A request in flight and those that wait for its end; guarded by its shard's mutex.
    struct Flight {
        std::condition_variable ended;
        bool done = false;
        int joined = 0;
        Call result; // its answer's fields only
    };

    struct Shard {
        explicit Shard(const Decisions::DuplicateOptions& options)
            : table(options)
        {
        }

        std::mutex mutex;
        Decisions::DuplicateTable table;
        std::map<std::string, std::shared_ptr<Flight>, std::less<>> flights;
    };

    void copyAnswer(const Call& from, Call& to)
    {
        to.code = from.code;
        to.outcome = from.outcome;
        to.errorText = from.errorText;
        to.retryAfterMs = from.retryAfterMs;
        to.attempts = from.attempts;
        to.answer = from.answer;
    }

    Decisions::RememberedAnswer toRemember(const Call& call)
    {
        if (call.outcome != Common::Outcome::Answered)
            return {};
        return { .whole = true, .status = call.answer.status, .headers = call.answer.headers, .body = call.answer.body };
    }

    void replay(Call& call, const Decisions::RememberedAnswer& answer)
    {
        call.code = ResultCode::Ok;
        call.outcome = Common::Outcome::Answered;
        call.answer = { .status = answer.status, .headers = answer.headers, .body = answer.body };
    }

    class Duplicates {
    public:
        Duplicates(DuplicateFilterOptions options, CallStats& stats, Common::EventLog& log)
            : m_options(std::move(options))
            , m_stats(stats)
            , m_log(log)
        {
            for (auto& shard : m_shards)
                shard = std::make_unique<Shard>(m_options.table);
        }

        void run(Call& call, const Next& next)
        {
            auto key = call.service + '\n' + call.id;
            auto& shard = *m_shards[Common::hash(key) % m_shards.size()];
            auto fingerprint = Common::hash(call.body, Common::hash(call.method + ' ' + call.servicePath));
            std::unique_lock lock(shard.mutex);
            auto decision = shard.table.begin(key, fingerprint, m_options.hooks.now());
            if (decision.action == DuplicateAction::Start) {
                auto flight = std::make_shared<Flight>();
                shard.flights.emplace(key, flight);
                lock.unlock();
                return lead(shard, key, *flight, call, next);
            }
            if (decision.action == DuplicateAction::Join)
                join(lock, shard.flights.at(key), call);
            lock = {};
            m_log.trace(Common::EventId::CallDuplicate, { { "request", call.id }, { "service", call.service } });
            if (decision.action == DuplicateAction::Replay) {
                ++m_stats.duplicatesReplayed;
                replay(call, *decision.remembered);
            } else if (decision.action == DuplicateAction::Refuse) {
                ++m_stats.duplicatesRefused;
                fail(call, ResultCode::DuplicateInFlight, "a request with this Idempotency-Key was sent before and its answer is not known here");
            } else if (decision.action == DuplicateAction::Mismatch) {
                ++m_stats.duplicatesRefused;
                fail(call, ResultCode::BadHeader, "Idempotency-Key: was used for a request with another method, path or body");
            }
        }

    private:
        // Goes on with a request that others may join.
        void lead(Shard& shard, const std::string& key, Flight& flight, Call& call, const Next& next)
        {
            call.mayCancel = [&shard, &flight] {
                std::lock_guard lock(shard.mutex);
                return flight.joined == 0;
            };
            // Also where a filter throws: the request may have been sent then, as the call's first outcome says.
            struct Ending {
                std::function<void()> run;
                ~Ending() { run(); }
            } ending { [&] { end(shard, key, flight, call); } };
            next(call);
        }

        void end(Shard& shard, const std::string& key, Flight& flight, Call& call)
        {
            call.mayCancel = nullptr;
            // What was refused before anything was sent, here or by the table, may be asked again.
            auto mayHaveRun = call.mayHaveRun || call.outcome == Common::Outcome::Answered || call.code == ResultCode::Internal;
            auto remembered = call.rule.repeat == Records::Repeat::Never && mayHaveRun;
            std::lock_guard lock(shard.mutex);
            if (remembered)
                shard.table.remember(key, toRemember(call), m_options.hooks.now());
            else
                shard.table.forget(key);
            flight.done = true;
            if (flight.joined > 0)
                copyAnswer(call, flight.result);
            // Whoever waits holds the flight itself.
            flight.ended.notify_all();
            shard.flights.erase(key);
        }

        // Waits for the first request's end within the call's own deadline.
        void join(std::unique_lock<std::mutex>& lock, std::shared_ptr<Flight> flight, Call& call)
        {
            ++m_stats.duplicatesJoined;
            ++flight->joined;
            if (flight->ended.wait_until(lock, call.deadline, [&] { return flight->done; }))
                return copyAnswer(flight->result, call);
            --flight->joined;
            fail(call, ResultCode::DuplicateInFlight, "a request with this Idempotency-Key is still in flight");
        }

        static constexpr std::size_t shardCount = 16;

        DuplicateFilterOptions m_options;
        CallStats& m_stats;
        Common::EventLog& m_log;
        std::array<std::unique_ptr<Shard>, shardCount> m_shards;
    };

}

Filter duplicateFilter(DuplicateFilterOptions options, CallStats& stats, Common::EventLog& log)
{
    auto duplicates = std::make_shared<Duplicates>(std::move(options), stats, log);
    return [duplicates](Call& call, const Next& next) {
        // An id made by the entry cannot come twice.
        if (!call.idGiven)
            return next(call);
        duplicates->run(call, next);
    };
}

}
