#include "Bench/RevisionWatch.h"

#include <map>

namespace Bench {

RevisionWatch::RevisionWatch(const Fleet& fleet)
    : m_fleet(fleet)
    , m_thread([this] { run(); })
{
}

RevisionWatch::~RevisionWatch()
{
    stop();
}

int RevisionWatch::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
    return m_reverts;
}

void RevisionWatch::run()
{
    constexpr auto interval = std::chrono::milliseconds(20);
    std::map<std::string, std::uint64_t> seen; // by address: a replaced entry has another port
    while (!m_stopping) {
        m_fleet.forEachEntry([&](Entry::Daemon& entry) {
            auto& last = seen[entry.address()];
            auto revision = entry.records().current()->revision;
            m_reverts += revision < last ? 1 : 0;
            last = revision;
        });
        std::this_thread::sleep_for(interval);
    }
}

}
