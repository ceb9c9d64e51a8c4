#include "Gateway/NewsController.h"

#include <algorithm>

#include <fmt/format.h>

namespace Gateway {

namespace {

    using Decisions::RelayRole;

    // Steps of duty decisions; news themselves do not wait for it.
    constexpr auto tickTime = std::chrono::milliseconds(250);
    // Until the first news have come.
    constexpr auto startTickTime = std::chrono::milliseconds(40);
    // How long a relay waits for news: longer where there are many entries, so that its work stays bounded.
    constexpr auto baseWait = std::chrono::milliseconds(400);
    constexpr auto waitPerEntry = std::chrono::milliseconds(2);
    constexpr auto maxWait = std::chrono::milliseconds(900);
    // A standby, and deputies, have to notice sooner than others that the leading relay is gone.
    constexpr auto standbyWait = std::chrono::milliseconds(200);
    // For an answer's way and a relay's other work, beside its wait and the time between its looks at the store.
    constexpr auto ageSlack = std::chrono::milliseconds(400);
    // Of the operators' bound on changes, the part in which followers rely on others.
    constexpr double shareOfApplyTime = 0.8;
    // Beside the wait, until a relay counts as silent.
    constexpr auto relaySlack = std::chrono::milliseconds(500);
    // A standby that is not heard of for so long is replaced.
    constexpr auto standbyPatience = std::chrono::seconds(3);
    // Between looks at the roster by one entry.
    constexpr auto rosterPause = std::chrono::milliseconds(1500);
    // Entries that start together do not know each other yet: until then the bounds are shared by at least so many.
    constexpr int assumedEntries = 20;
    constexpr auto assumedTime = std::chrono::seconds(5);
    // How long a larger count than the present one holds: entries that restart have spent their share before.
    constexpr auto entriesMemory = std::chrono::seconds(30);

    // Where all entries start for the first time, no caller waits yet, and one read of the store does for all.
    constexpr auto bootstrapPatience = std::chrono::milliseconds(2500);
    constexpr auto bootstrapPause = std::chrono::milliseconds(400);

    constexpr std::size_t relaysWanted = 2;
    // Pauses between tries at a store that is away: relays try often, since all others depend on them.
    constexpr auto firstBackoff = std::chrono::milliseconds(200);
    constexpr auto outageBackoff = std::chrono::milliseconds(2000);
    constexpr auto relayBackoff = std::chrono::milliseconds(500);
    constexpr auto followerBackoff = std::chrono::milliseconds(4000);
    // From so many entries on, a standby with so many times the leading relay's processor share takes its place, after so long.
    constexpr std::size_t manyEntries = 60;
    constexpr double capacityGain = 1.5;
    constexpr auto handOverPause = std::chrono::milliseconds(800);

}

NewsController::NewsController(Net::EventLoop& loop, Common::EventLog& log, Catalog& catalog, Members& members, Platform::AsyncTable readTable, Platform::AsyncTable rosterTable, NewsControllerOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_catalog(catalog)
    , m_members(members)
    , m_rosterTable(std::move(rosterTable))
    , m_options(std::move(options))
    , m_reader(loop, log, catalog, std::move(readTable), m_options.reader)
    , m_server(loop, catalog, members, { .relays = [this] { return relays(); }, .roster = [this] { return m_roster; }, .onRoster = [this](const Roster& roster) { adopt(roster); }, .capacity = members.self().capacity })
    , m_client(loop, log, catalog, members, { .target = m_options.newsTarget, .roster = [this] { return m_roster; } })
    , m_jitter(Common::randomUnit(loop.hooks()))
{
    m_client.onRoster([this](const Roster& roster) { adopt(roster); });
    m_catalog.onNews([this] { m_server.onCatalogNews(); });
    // Not within the reader's own call: the review may stop it.
    m_reader.onConfirmed([this] {
        if (m_freshSince == Common::TimePoint())
            m_freshSince = m_loop.now();
        m_loop.defer([this] { review(); });
    });
}

void NewsController::start()
{
    if (m_options.bootstrap) {
        m_options.duty.startReadDelay = bootstrapPatience;
        m_client.setRetryPause(bootstrapPause);
    }
    m_started = m_loop.now();
    m_relayedSince = m_started;
    m_standbySeen = m_started;
    countEntries();
    follow();
    m_client.start();
    tick();
}

RelayRole NewsController::role() const
{
    const auto& relays = m_roster.relays;
    auto it = std::find(relays.begin(), relays.end(), m_members.self().control);
    if (it == relays.end())
        return RelayRole::Follower;
    return it == relays.begin() ? RelayRole::Leader : RelayRole::Standby;
}

bool NewsController::relays() const
{
    if (m_leaving || !m_catalog.isComplete() || role() == RelayRole::Follower)
        return false;
    // A leading relay without the store gets its news from the standby: handing them on would hide from the standby that it has
    // to lead.
    return role() == RelayRole::Standby || m_reader.storeAnswers();
}

Decisions::RelayElectionInputs NewsController::facts() const
{
    auto it = std::find(m_options.seeds.begin(), m_options.seeds.end(), m_members.self().control);
    auto members = m_members.all();
    return {
        .now = m_loop.now(),
        .started = m_started,
        .role = role(),
        .relayListKnown = !m_roster.relays.empty(),
        .complete = m_catalog.isComplete(),
        .age = m_catalog.age(),
        .relayed = m_relayed,
        .relayStatusSince = m_relayedSince,
        .seedIndex = it == m_options.seeds.end() ? -1 : static_cast<int>(it - m_options.seeds.begin()),
        .jitter = m_jitter,
        .reading = m_reader.isRunning(),
        .storeAnswers = m_reader.storeAnswers(),
        .storeRecoveredFor = m_reader.backSince() == Common::TimePoint() ? std::nullopt : std::optional(m_loop.now() - m_reader.backSince()),
        .relayAnswers = m_client.lastAnswer() != Common::TimePoint() && m_loop.now() - m_client.lastAnswer() < m_relayPatience,
        .entries = m_entries,
        .largerMemberKnown = std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.capacity > capacityGain * m_members.self().capacity; }),
        .preferredCandidate = m_isDeputy,
        .storeReadsFreshFor = m_freshSince == Common::TimePoint() ? Common::Duration::zero() : m_loop.now() - m_freshSince,
    };
}

void NewsController::tick()
{
    trackRelay();
    countEntries();
    if (role() == RelayRole::Leader && m_members.expire(m_loop.now()))
        m_server.onMembersChanged();
    follow();
    review();
    m_loop.after(m_catalog.isComplete() ? Common::Duration(tickTime) : Common::Duration(startTickTime), [this] { tick(); });
}

// Whether to read and to lead, by what is known now.
void NewsController::review()
{
    if (m_leaving && m_client.following().empty())
        return;
    auto now = facts();
    // While a relay answers, the store is likely away for all, and relays look for its return.
    if (now.role == RelayRole::Follower && now.relayAnswers)
        m_reader.setBackoff(outageBackoff, followerBackoff);
    else
        m_reader.setBackoff(firstBackoff, now.role == RelayRole::Follower ? followerBackoff : relayBackoff);
    if (Decisions::shouldReadStore(now, m_options.duty))
        m_reader.start();
    else
        stopReading();
    if (m_leaving || m_rosterCall)
        return;
    if (Decisions::shouldBecomeLeader(now, m_options.duty))
        takeLead();
    else if (now.role == RelayRole::Leader)
        appointStandby();
}

void NewsController::stopReading()
{
    m_reader.stop();
    m_freshSince = {};
}

void NewsController::trackRelay()
{
    auto wait = std::min<Common::Duration>(baseWait + waitPerEntry * static_cast<int>(m_members.size()), maxWait);
    auto members = m_members.all();
    const auto& self = m_members.self();
    auto isBefore = [&](const Member& member) { return member.failureDomain == self.failureDomain && member.control != self.control && std::pair(member.capacity, member.control) > std::pair(self.capacity, self.control); };
    m_isDeputy = Decisions::isPreferredCandidate(static_cast<int>(std::count_if(members.begin(), members.end(), isBefore)));
    if (role() != RelayRole::Follower || (m_isDeputy && m_entries >= m_options.duty.largeFleetSize))
        wait = standbyWait;
    m_client.setWait(wait);
    auto usualAge = m_options.reader.registryInterval + wait + ageSlack;
    m_options.duty.followerMaxAge = std::min<Common::Duration>(std::max<Common::Duration>(usualAge, m_options.minFollowerAge), Common::fromMilliseconds(shareOfApplyTime * Common::toMilliseconds(m_options.applyTime)));
    m_relayPatience = wait + relaySlack;
    auto last = m_client.lastFreshAnswer();
    auto relayed = last != Common::TimePoint() && m_loop.now() - last < m_relayPatience;
    if (relayed == m_relayed)
        return;
    m_relayed = relayed;
    m_relayedSince = relayed ? m_loop.now() : last;
    m_rosterWasRead = false;
}

void NewsController::countEntries()
{
    auto now = m_loop.now();
    auto seen = static_cast<int>(m_members.size());
    if (now - m_started < assumedTime)
        seen = std::max(seen, assumedEntries);
    if (seen >= m_entries || now - m_entriesAt > entriesMemory) {
        m_entries = seen;
        m_entriesAt = now;
    }
}

void NewsController::follow()
{
    auto candidates = m_roster.relays.empty() ? m_options.seeds : m_roster.relays;
    std::erase(candidates, m_members.self().control);
    // The leading relay hears from the standby whether another entry has taken over meanwhile, but needs no news of it.
    if (role() == RelayRole::Leader && m_reader.storeAnswers())
        candidates.clear();
    m_client.setCandidates(std::move(candidates));
}

void NewsController::adopt(const Roster& roster)
{
    if (roster.version <= m_roster.version)
        return;
    auto wasRelay = role() != RelayRole::Follower;
    m_log.log(Common::EventId::RosterAdopted, { { "relays", fmt::format("{}", fmt::join(roster.relays, " ")) }, { "version", std::to_string(roster.version) }, { "before", std::to_string(m_roster.version) } });
    m_roster = roster;
    m_standbySeen = m_loop.now();
    m_rosterWasRead = false;
    // Those who wait here have to turn to the new relay.
    if (wasRelay && role() == RelayRole::Follower)
        m_server.dismiss();
    follow();
}

void NewsController::takeLead()
{
    // Somebody else may have done it: the store's row tells.
    if (!m_rosterWasRead) {
        if (m_loop.now() - m_rosterReadAt > rosterPause || m_rosterReadAt == Common::TimePoint())
            readRoster();
        return;
    }
    std::vector<std::string> relays { m_members.self().control };
    if (role() == RelayRole::Standby && !m_roster.relays.empty())
        relays.push_back(m_roster.relays.front());
    writeRoster(relays);
}

void NewsController::readRoster()
{
    m_rosterCall = true;
    m_rosterReadAt = m_loop.now();
    ++m_rosterCalls;
    m_rosterTable.readAll(m_options.rosterTable, [this](const Platform::RowsRead& read) {
        m_rosterCall = false;
        if (read.state != Platform::ReadState::Ok)
            return;
        auto before = m_roster.version;
        for (const auto& row : read.rows) {
            auto roster = row.key == m_options.rosterKey && row.value ? parseRoster(*row.value, row.version) : Common::Result<Roster>(Common::Error {});
            if (roster)
                adopt(roster.value());
        }
        // A roster that this entry has followed in vain, or none: the next step writes one.
        m_rosterWasRead = m_roster.version == before;
        if (!m_rosterWasRead)
            m_relayedSince = m_loop.now();
        else if (!m_leaving && Decisions::shouldBecomeLeader(facts(), m_options.duty))
            takeLead();
    });
}

void NewsController::appointStandby()
{
    auto now = m_loop.now();
    auto members = m_members.all();
    auto isKnown = [&](const std::string& control) { return std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.control == control && member.serving; }); };
    auto hasStandby = m_roster.relays.size() >= relaysWanted && isKnown(m_roster.relays[1]);
    if (hasStandby) {
        // Relaying to many takes a processor share that small entries do not have.
        auto standby = std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.control == m_roster.relays[1]; });
        if (members.size() > manyEntries && standby->capacity > capacityGain * m_members.self().capacity && now - m_standbySeen > handOverPause)
            return writeRoster({ standby->control, m_members.self().control });
        return;
    }
    if (now - m_standbySeen < standbyPatience)
        return;
    const Member* best = nullptr;
    for (const auto& member : members) {
        auto isOther = member.control != m_members.self().control && member.serving;
        // Large ones, and of those another failure domain: a domain may be lost whole.
        auto rank = [&](const Member& it) { return std::make_tuple(it.capacity, it.failureDomain != m_members.self().failureDomain, -it.startedMs); };
        if (isOther && (!best || rank(member) > rank(*best)))
            best = &member;
    }
    if (best)
        writeRoster({ m_members.self().control, best->control });
}

void NewsController::writeRoster(const std::vector<std::string>& relays)
{
    m_rosterCall = true;
    m_standbySeen = m_loop.now();
    ++m_rosterCalls;
    Platform::ConditionalWrite write { .row = { .table = m_options.rosterTable, .key = m_options.rosterKey, .value = toText(Roster { .relays = relays }), .version = 0 }, .expected = m_roster.version };
    m_rosterTable.write(write, [this, relays](const Platform::CommitResult& result) { onRosterWritten(relays, result); });
}

void NewsController::onRosterWritten(const std::vector<std::string>& relays, const Platform::CommitResult& result)
{
    m_rosterCall = false;
    if (result.state == Platform::CommitState::Committed) {
        auto before = m_roster.relays;
        adopt({ .relays = relays, .version = result.version });
        // Relays that are no longer ones may be cut off from the store, and those who follow them would not learn of it.
        before.insert(before.end(), relays.begin(), relays.end());
        for (const auto& control : before) {
            if (control != m_members.self().control)
                m_client.tellRoster(control);
        }
    }
    for (const auto& row : result.rows) {
        auto roster = row.value ? parseRoster(*row.value, row.version) : Common::Result<Roster>(Common::Error {});
        if (roster)
            adopt(roster.value());
    }
    // A write whose answer was lost may have been done: the row tells.
    m_rosterWasRead = false;
    if (result.state != Platform::CommitState::Committed)
        m_relayedSince = m_loop.now();
}

void NewsController::onSelfChanged()
{
    if (role() == RelayRole::Leader)
        m_server.onMembersChanged();
    else
        m_client.renew();
}

void NewsController::leave()
{
    if (m_leaving)
        return;
    auto before = role();
    auto relays = m_roster.relays;
    m_leaving = true;
    std::erase(relays, m_members.self().control);
    if (before == RelayRole::Leader && !relays.empty() && !m_rosterCall)
        writeRoster(relays);
    m_server.dismiss();
    onSelfChanged();
}

}
