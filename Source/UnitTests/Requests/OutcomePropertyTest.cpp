#include <memory>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Fakes/FakeTable.h"
#include "Requests/AdmissionFilter.h"
#include "Requests/AttemptFilter.h"
#include "Requests/ClaimFilter.h"
#include "Requests/DuplicateFilter.h"

// Random schedules of failures, resends, late answers and late writes, deaths of entries: the chain from the duplicate check
// to the attempts, against what the backend servers really ran.

namespace {

using Common::Outcome;
using Common::ResultCode;
using Decisions::AttemptEnd;
using Decisions::AttemptFault;
using Decisions::AttemptStage;
using Fakes::TableFault;
using Requests::Call;

// The choices of one schedule; zeros after its end.
class Tape {
public:
    explicit Tape(std::vector<std::uint32_t> choices)
        : m_choices(std::move(choices))
    {
    }

    bool ended() const { return m_at >= m_choices.size(); }
    std::uint32_t below(std::uint32_t bound) { return ended() ? 0 : m_choices[m_at++] % bound; }

private:
    std::vector<std::uint32_t> m_choices;
    std::size_t m_at = 0;
};

struct Killed { };

enum class Kind {
    Safe,
    Never,
    Claimed,
};

// One call as its caller saw it.
struct Record {
    std::string id;
    Kind kind = Kind::Safe;
    int number = 0;
    bool ended = false; // false: its entry died
    Call call;
};

class World {
public:
    explicit World(std::vector<std::uint32_t> choices)
        : m_tape(std::move(choices))
    {
        m_table.fault = [this](bool write) { return tableFault(write); };
        for (auto& entry : m_entries)
            entry = makeEntry();
    }

    void run()
    {
        while (!m_tape.ended())
            step();
        landLate();
    }

    // The first promise found broken; empty when all held.
    std::string broken() const
    {
        std::map<std::string, int> runsOfId;
        for (const auto& record : m_records) {
            auto runs = runsOf(record.number);
            runsOfId[record.id] += runs;
            if (record.kind != Kind::Safe && runsOfId[record.id] > 1)
                return "ran more than once: " + record.id;
            if (!record.ended)
                continue;
            if (record.call.outcome == Outcome::NotRun && runs > 0)
                return "not-run but ran: " + record.id;
            if (record.call.outcome == Outcome::Answered && runsOfId[record.id] == 0)
                return "answered but did not run: " + record.id;
            if (record.call.outcome == Outcome::Answered && record.call.answer.body != "answer to " + record.id)
                return "not its own answer: " + record.id;
            if (Common::resultRow(record.call.code).outcome != record.call.outcome)
                return "code and outcome differ: " + record.id;
        }
        return m_stuck;
    }

    int answered() const
    {
        return static_cast<int>(std::count_if(m_records.begin(), m_records.end(), [](const Record& it) { return it.ended && it.call.outcome == Outcome::Answered; }));
    }

private:
    // One entry: its chain and all it remembers die with it.
    struct Entry {
        Requests::CallStats stats;
        Requests::ServiceStates states;
        std::unique_ptr<Requests::FilterChain> chain;
        int life = 0;
    };

    std::unique_ptr<Entry> makeEntry()
    {
        auto entry = std::make_unique<Entry>();
        entry->life = ++m_lives;
        Common::Hooks hooks { .now = [this] { return m_now; }, .random = [this] { return ++m_random; } };
        entry->chain = std::make_unique<Requests::FilterChain>(std::vector<Requests::Filter> {
            Requests::duplicateFilter({ .hooks = hooks }, entry->stats, m_log),
            Requests::admissionFilter(hooks, entry->states, entry->stats),
            Requests::claimFilter({ .hooks = hooks, .sleep = [this](Common::Duration pause) { m_now += pause; } }, m_table.table(), entry->stats, m_log),
            Requests::attemptFilter(
                { .hooks = hooks }, [this](const Call& call, const Requests::AttemptPlan& plan) { return attempt(call, plan); }, entry->states, entry->stats),
        });
        return entry;
    }

    void step()
    {
        constexpr std::uint32_t ids = 3;
        constexpr std::uint32_t lateEvery = 8;
        if (m_tape.below(lateEvery) == 1)
            landLate();
        auto index = m_tape.below(static_cast<std::uint32_t>(m_entries.size()));
        auto& entry = m_entries[index];
        Record record;
        record.kind = static_cast<Kind>(m_tape.below(3));
        record.number = ++m_calls;
        record.id = std::to_string(static_cast<int>(record.kind)) + '-' + std::to_string(m_tape.below(ids));
        // Without a claim one life of one entry answers for an id.
        if (record.kind == Kind::Never)
            record.id += '-' + std::to_string(entry->life);
        auto call = callFor(record);
        auto neverSent = isFree(record.id);
        m_tableFaults = m_tape.below(3) == 0;
        try {
            entry->chain->run(call);
            record.ended = true;
            record.call = call;
            if (neverSent && (call.code == ResultCode::DuplicateClaimed || call.code == ResultCode::DuplicateInFlight))
                m_stuck = "refused as a duplicate though every earlier call was not-run: " + record.id;
        } catch (const Killed&) {
            entry = makeEntry();
        }
        m_records.push_back(record);
        m_now += std::chrono::milliseconds(m_tape.below(1000));
    }

    Call callFor(const Record& record)
    {
        Call call;
        call.method = record.kind == Kind::Safe ? "GET" : "POST";
        call.service = "s";
        call.servicePath = "/p";
        call.id = record.id;
        call.idGiven = true;
        call.headers = { { "Number", std::to_string(record.number) } };
        call.rule.repeat = record.kind == Kind::Safe ? Records::Repeat::Safe : Records::Repeat::Never;
        call.rule.claim = record.kind == Kind::Claimed ? Records::Claim::Table : Records::Claim::None;
        call.received = m_now;
        call.deadline = m_now + std::chrono::milliseconds(1 + m_tape.below(2000));
        call.outerRetries = m_tape.below(4) == 0 ? 1 : 0;
        return call;
    }

    // Whether every earlier call of the id was told that it did not run.
    bool isFree(const std::string& id) const
    {
        return std::all_of(m_records.begin(), m_records.end(), [&](const Record& it) { return it.id != id || (it.ended && it.call.outcome == Outcome::NotRun); });
    }

    TableFault tableFault(bool write)
    {
        m_now += std::chrono::milliseconds(1);
        if (!m_tableFaults)
            return TableFault::None;
        constexpr std::array reads { TableFault::None, TableFault::Down };
        constexpr std::array writes { TableFault::None, TableFault::AnswerLost, TableFault::Late, TableFault::Down };
        return write ? writes[m_tape.below(writes.size())] : reads[m_tape.below(reads.size())];
    }

    // One request to one of four backend servers.
    Common::Result<Requests::AttemptResult> attempt(const Call& call, const Requests::AttemptPlan& plan)
    {
        constexpr std::size_t servers = 4;
        if (plan.exclude.size() >= servers)
            return Common::Error { ResultCode::NoServer, "no server" };
        if (m_tape.below(12) == 1)
            throw Killed {};
        auto number = std::stoi(Requests::headerOf(call.headers, "Number"));
        Requests::AttemptResult result;
        result.servers = { std::to_string(plan.exclude.size()) };
        result.firstSent = m_now;
        m_now += std::chrono::milliseconds(m_tape.below(50));
        result.end = end();
        result.sends = result.end.stage >= AttemptStage::PartlySent ? 1 : 0;
        result.ended = m_now;
        if (result.end.stage == AttemptStage::Answered && !result.end.provenNotRun) {
            ran(number);
            result.answer = { .status = 200, .headers = {}, .body = "answer to " + call.id };
        } else if (result.sends > 0 && !result.end.provenNotRun) {
            mayRun(number);
        }
        // The entry may die with the answer in its hands.
        if (m_tape.below(12) == 1)
            throw Killed {};
        return result;
    }

    AttemptEnd end()
    {
        static const AttemptEnd ends[] = {
            { .stage = AttemptStage::Answered, .status = 200 },
            { .stage = AttemptStage::Answered, .status = 500 },
            { .stage = AttemptStage::Answered, .status = 503, .provenNotRun = true },
            { .stage = AttemptStage::Connecting, .fault = AttemptFault::Refused },
            { .stage = AttemptStage::BeforeSend, .fault = AttemptFault::Closed },
            { .stage = AttemptStage::PartlySent, .fault = AttemptFault::Closed },
            { .stage = AttemptStage::Sent, .fault = AttemptFault::TimedOut },
            { .stage = AttemptStage::Sent, .fault = AttemptFault::Closed },
            { .stage = AttemptStage::PartlyAnswered, .fault = AttemptFault::CutShort },
            { .stage = AttemptStage::Sent, .fault = AttemptFault::Cancelled },
        };
        return ends[m_tape.below(std::size(ends))];
    }

    // Sent, and its end not known: it ran, runs later, or never.
    void mayRun(int number)
    {
        auto what = m_tape.below(3);
        if (what == 0)
            ran(number);
        else if (what == 1)
            m_lateRuns.push_back(number);
    }

    void landLate()
    {
        m_table.landLate();
        for (auto number : m_lateRuns)
            ran(number);
        m_lateRuns.clear();
    }

    void ran(int number) { ++m_runs[number]; }

    int runsOf(int number) const
    {
        auto it = m_runs.find(number);
        return it == m_runs.end() ? 0 : it->second;
    }

    Tape m_tape;
    Common::TimePoint m_now { std::chrono::hours(1) };
    std::uint64_t m_random = 0;
    Common::EventLog m_log { { .process = "test", .format = Common::LogFormat::Off } };
    Fakes::FakeTable m_table;
    bool m_tableFaults = false;
    std::array<std::unique_ptr<Entry>, 2> m_entries;
    int m_lives = 0;
    int m_calls = 0;
    std::map<int, int> m_runs; // by the call's number
    std::vector<int> m_lateRuns;
    std::vector<Record> m_records;
    std::string m_stuck;
};

}

TEST_CASE("promises hold through random schedules of failures")
{
    // The shrinker finds the shortest schedule that breaks a promise.
    CHECK(rc::check("every outcome is true", [](const std::vector<std::uint32_t>& choices) {
        World world(choices);
        world.run();
        RC_ASSERT(world.broken() == std::string());
    }));
}

TEST_CASE("promises hold through thousands of long schedules with fixed seeds")
{
    constexpr int schedules = 5000;
    constexpr std::size_t choices = 400;
    int answered = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        std::mt19937 generator(static_cast<std::uint32_t>(seed));
        std::vector<std::uint32_t> tape(choices);
        std::generate(tape.begin(), tape.end(), generator);
        World world(tape);
        world.run();
        CAPTURE(seed);
        REQUIRE(world.broken() == std::string());
        answered += world.answered();
    }
    // The schedules are not all failure.
    CHECK(answered > schedules);
}
