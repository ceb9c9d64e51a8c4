#include "Bench/OperatorRace.h"

#include <map>

#include <fmt/format.h>

#include "Bench/RecordSeed.h"
#include "Records/RecordStore.h"

namespace Bench {

OperatorRace::OperatorRace(Platform::Table table, OperatorRaceOptions options)
    : m_table(std::move(table))
    , m_options(std::move(options))
    , m_told(static_cast<std::size_t>(m_options.operators))
{
    for (int i = 0; i < m_options.operators; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

OperatorRace::~OperatorRace()
{
    stop();
}

void OperatorRace::run(int number)
{
    constexpr auto pause = std::chrono::milliseconds(50);
    const auto& service = m_options.deployment.services.front();
    int edition = 1;
    while (!m_stopping) {
        std::this_thread::sleep_for(pause);
        auto row = Records::readRecord(m_table, service.name);
        if (!row || !row.value().change)
            continue;
        Records::WriteRequest request {
            .kind = Records::ChangeKind::Replace,
            .service = service.name,
            .expect = row.value().change->revision,
            .by = fmt::format("operator-{}", number),
            .forms = { recordText(m_options.deployment, service, { .policy = m_options.policy, .goal = {} }, edition++) },
        };
        auto answer = Records::writeRecord({ .hooks = Common::systemHooks(), .limit = m_options.limit }, m_table, request);
        m_told[static_cast<std::size_t>(number)].push_back({ .state = answer.state, .nonce = answer.nonce });
    }
}

OperatorRaceResult OperatorRace::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    OperatorRaceResult result;
    auto history = Records::readHistory(m_table);
    std::map<std::string, int> found;
    if (history) {
        for (const auto& change : history.value())
            ++found[change.nonce];
    }
    for (const auto& told : m_told) {
        for (const auto& [state, nonce] : told) {
            ++result.writes;
            auto times = nonce.empty() ? 0 : found[nonce];
            auto isApplied = state == Records::WriteState::Applied;
            auto isUnsettled = state == Records::WriteState::Unsettled;
            result.applied += isApplied ? 1 : 0;
            result.unsettled += isUnsettled ? 1 : 0;
            result.conflicts += state == Records::WriteState::Conflict ? 1 : 0;
            auto right = times <= 1 && (isUnsettled || times == (isApplied ? 1 : 0));
            result.wronglyReported += right && history ? 0 : 1;
        }
    }
    return result;
}

}
