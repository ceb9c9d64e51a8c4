#pragma once

#include <memory>
#include <random>

#include "Controllers/RecordSync.h"
#include "Fakes/FakeTable.h"
#include "Records/RecordWrite.h"

namespace Fakes {

// Entries, operators and a store in virtual time, with faults drawn from a seed.
class RecordWorld {
public:
    struct Entry {
        std::unique_ptr<Common::EventLog> log;
        std::unique_ptr<Controllers::RecordController> records;
        std::unique_ptr<Controllers::RecordSync> sync;
        Common::TimePoint due;
        Common::TimePoint pausedUntil;
        int side = 0; // entries of other sides are out of reach
        int started = 0;
    };

    struct Operator {
        std::unique_ptr<Records::RecordWrite> write;
        Common::TimePoint due;
        bool done = false;
    };

    struct Push {
        std::size_t to = 0;
        Common::TimePoint at;
        Records::RecordUpdate update;
    };

    RecordWorld(std::uint64_t seed, std::size_t entryCount)
        : m_generator(seed)
    {
        store.fault = [this](bool write) { return faultOf(write); };
        entries.resize(entryCount);
        for (std::size_t i = 0; i < entryCount; ++i)
            restart(i);
    }

    // Runs with faults, then without.
    void run(Common::Duration faulty, Common::Duration calm, const std::function<void(RecordWorld&)>& check)
    {
        auto end = m_now + faulty;
        while (m_now < end) {
            stir();
            tick(check);
        }
        m_calm = true;
        store.landLate();
        for (auto& entry : entries) {
            entry.side = 0;
            entry.pausedUntil = m_now;
        }
        end = m_now + calm;
        while (m_now < end)
            tick(check);
    }

    bool chance(int percent) { return m_generator() % 100 < static_cast<std::uint64_t>(percent); }

    FakeTable store;
    std::vector<Entry> entries;
    std::vector<Operator> operators;

private:
    static constexpr auto tickLength = std::chrono::milliseconds(50);

    Common::Hooks hooks()
    {
        return { .now = [this] { return m_now; }, .random = [this] { return m_generator(); } };
    }

    Platform::Objects objects()
    {
        return {
            .get = [this](const std::string&) -> Common::Result<std::optional<Platform::Object>> {
                if (!m_calm && m_storeDown)
                    return Common::Error { Common::ResultCode::StoreUnavailable, "down" };
                return m_object; },
            .put = [this](const std::string&, const std::string& bytes, const std::string& etag) -> Common::Result<std::string> {
                if (!m_calm && m_storeDown)
                    return Common::Error { Common::ResultCode::StoreUnavailable, "down" };
                if (etag != (m_object ? m_object->etag : ""))
                    return Common::Error { Common::ResultCode::RecordConflict, "replaced" };
                m_object = { .bytes = bytes, .etag = std::to_string(++m_lastEtag) };
                return m_object->etag; },
        };
    }

    void restart(std::size_t i)
    {
        auto& entry = entries[i];
        entry.sync.reset();
        entry.records.reset();
        entry.log = std::make_unique<Common::EventLog>(Common::EventLogOptions { .process = {}, .format = Common::LogFormat::Off });
        entry.records = std::make_unique<Controllers::RecordController>(store.table(), *entry.log);
        Platform::Services services { .table = store.table(), .objects = objects(), .instances = {} };
        entry.sync = std::make_unique<Controllers::RecordSync>(Controllers::RecordSyncOptions { .hooks = hooks(), .schedule = {}, .snapshotInterval = std::chrono::seconds(3) }, services, *entry.records, *entry.log);
        entry.sync->setPeers({ .isReader = [i] { return i % 2 == 0; }, .fetch = [this, i](std::uint64_t since) { return fetch(i, since); }, .push = [this, i](const auto& update) { push(i, update); } });
        entry.due = m_now;
        ++entry.started;
    }

    bool reachable(std::size_t from, std::size_t to) const
    {
        return from != to && entries[from].side == entries[to].side && entries[to].pausedUntil <= m_now;
    }

    Common::Result<Records::RecordUpdate> fetch(std::size_t from, std::uint64_t since)
    {
        auto to = m_generator() % entries.size();
        if (!reachable(from, to) || !entries[to].sync->ready())
            return Common::Error { Common::ResultCode::PeerUnreachable, "out of reach" };
        return entries[to].records->updateSince(since);
    }

    void push(std::size_t from, const Records::RecordUpdate& update)
    {
        for (std::size_t to = 0; to < entries.size(); ++to) {
            if (to != from && entries[from].side == entries[to].side && (m_calm || !chance(30)))
                m_pushes.push_back({ .to = to, .at = m_now + tickLength * (1 + m_generator() % 40), .update = update });
        }
    }

    TableFault faultOf(bool write)
    {
        if (m_calm)
            return TableFault::None;
        // Others go on in the middle of an exchange of several reads, as they would while an entry is paused.
        if (!m_nested && chance(10)) {
            m_nested = true;
            if (chance(50))
                store.landLate();
            else if (!operators.empty())
                stepOperator(operators[m_generator() % operators.size()]);
            m_nested = false;
        }
        if (m_storeDown)
            return write && chance(30) ? TableFault::Late : TableFault::Down;
        if (!write)
            return chance(5) ? TableFault::Down : TableFault::None;
        constexpr std::array faults { TableFault::None, TableFault::None, TableFault::AnswerLost, TableFault::Late, TableFault::Down };
        return faults[m_generator() % faults.size()];
    }

    // Draws what goes wrong next.
    void stir()
    {
        if (chance(3))
            m_storeDown = !m_storeDown;
        if (chance(10))
            store.landLate();
        if (chance(12))
            startOperator();
        auto i = m_generator() % entries.size();
        if (chance(3))
            entries[i].side = static_cast<int>(m_generator() % 2);
        if (chance(2))
            entries[i].pausedUntil = m_now + std::chrono::milliseconds(m_generator() % 5000);
        if (chance(2))
            restart(i);
    }

    void startOperator()
    {
        auto service = "s" + std::to_string(m_generator() % 3);
        auto it = store.rows.find(Records::recordKey(service));
        auto held = it == store.rows.end() ? std::nullopt : Records::decodeChange(it->second.value);
        auto form = "schema = 1\nservice = \"" + service + "\"\npool = \"p\"\nslots = " + std::to_string(operators.size() + 1) + "\n";
        Records::WriteRequest request { .kind = Records::ChangeKind::Put, .service = service, .by = "ana", .forms = { form } };
        if (held && chance(90)) {
            request.kind = chance(20) ? Records::ChangeKind::Retire : Records::ChangeKind::Replace;
            // Now and then in the belief that an older one is the latest.
            request.expect = chance(20) && held->previous > 0 ? held->previous : held->revision;
        }
        if (request.kind == Records::ChangeKind::Retire)
            request.forms.clear();
        Records::RecordWriteOptions options { .hooks = hooks(), .wallMs = [] { return std::int64_t(0); }, .limit = std::chrono::seconds(5) };
        operators.push_back({ .write = std::make_unique<Records::RecordWrite>(options, store.table(), request), .due = m_now });
    }

    void stepOperator(Operator& who)
    {
        if (who.done || who.due > m_now)
            return;
        who.due = m_now + std::chrono::seconds(60); // not again from within its own exchange
        auto wait = who.write->step();
        who.done = !wait.has_value();
        auto pause = !m_calm && chance(10) ? std::chrono::milliseconds(m_generator() % 3000) : std::chrono::milliseconds(0);
        who.due = m_now + wait.value_or(Common::Duration::zero()) + pause;
    }

    void tick(const std::function<void(RecordWorld&)>& check)
    {
        for (std::size_t i = 0; i < operators.size(); ++i)
            stepOperator(operators[i]);
        deliver();
        for (auto& entry : entries) {
            if (entry.due <= m_now && entry.pausedUntil <= m_now)
                entry.due = m_now + std::max<Common::Duration>(entry.sync->step(), tickLength);
        }
        check(*this);
        m_now += tickLength;
    }

    void deliver()
    {
        auto pushes = std::move(m_pushes);
        m_pushes.clear();
        for (auto& push : pushes) {
            auto& entry = entries[push.to];
            if (push.at > m_now || entry.pausedUntil > m_now)
                m_pushes.push_back(std::move(push));
            else
                entry.sync->take(push.update);
        }
        auto from = m_generator() % entries.size();
        auto to = m_generator() % entries.size();
        if (!reachable(from, to))
            return;
        entries[to].sync->onHeadSeen(entries[from].records->current()->revision);
        entries[to].due = m_now;
    }

    std::mt19937_64 m_generator;
    Common::TimePoint m_now {};
    bool m_calm = false;
    bool m_storeDown = false;
    bool m_nested = false;
    std::vector<Push> m_pushes;
    std::optional<Platform::Object> m_object;
    std::uint64_t m_lastEtag = 0;
};

}
