#include "Operator/PeerFinder.h"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include <fmt/format.h>

#include "Common/Address.h"
#include "Common/TomlReader.h"
#include "Platform/HttpPlatform.h"

namespace Operator {

namespace {

    using Common::Error;
    using Common::ResultCode;

    constexpr std::size_t maxParallelCalls = 16;

    Common::Result<std::string> readKey(const std::string& path)
    {
        std::vector<Common::FileError> errors;
        auto text = Common::readFile(path, errors);
        if (!text)
            return Error { ResultCode::SettingsInvalid, Common::describe(errors.front()) };
        // Editors end the file with a line break, which is no part of the key.
        while (!text->empty() && (text->back() == '\n' || text->back() == '\r'))
            text->pop_back();
        if (text->empty())
            return Error { ResultCode::SettingsInvalid, path + ": the key is empty" };
        return *text;
    }

    std::string operatorName()
    {
        return fmt::format("operator-{:016x}", Common::systemHooks().random());
    }

    Common::Result<void> addListed(const std::string& platformAddress, std::set<std::string>& peers)
    {
        auto instances = Platform::httpPlatform({ .address = platformAddress }).instances();
        if (!instances)
            return instances.error();
        for (const auto& instance : instances.value()) {
            if (instance.kind == Platform::InstanceKind::Entry && Common::isAddress(instance.peerAddress))
                peers.insert(instance.peerAddress);
        }
        return boost::outcome_v2::success();
    }

    // An entry and all that it holds for live.
    Common::Result<void> addKnownTo(const Peers::PeerClient& client, const std::string& peer, std::set<std::string>& peers)
    {
        auto status = client.call(peer, "status", {});
        if (!status)
            return status.error();
        peers.insert(peer);
        for (const auto& member : status.value()["members"]) {
            if (member["peer_address"].isString() && Common::isAddress(member["peer_address"].asString()))
                peers.insert(member["peer_address"].asString());
        }
        return boost::outcome_v2::success();
    }

}

PeerFinder::PeerFinder(std::shared_ptr<Peers::PeerClient> client, std::vector<std::string> peers)
    : m_client(std::move(client))
    , m_peers(std::move(peers))
{
}

Common::Result<PeerFinder> PeerFinder::find(const PeerFinderOptions& options)
{
    auto key = readKey(options.keyFile);
    if (!key)
        return key.error();
    auto client = std::make_shared<Peers::PeerClient>(Peers::PeerClientOptions { .sharedKey = key.value(), .self = operatorName() });
    std::set<std::string> peers;
    Common::Result<void> asked = Error { ResultCode::PeerUnreachable, "neither the platform nor an entry was named" };
    if (!options.platformAddress.empty())
        asked = addListed(options.platformAddress, peers);
    if (!options.peerAddress.empty()) {
        auto known = addKnownTo(*client, options.peerAddress, peers);
        if (peers.empty())
            asked = known;
    }
    if (peers.empty() && !asked)
        return asked.error();
    if (peers.empty())
        return Error { ResultCode::PeerUnreachable, "the platform lists no entry" };
    return PeerFinder(client, { peers.begin(), peers.end() });
}

PeerAnswers PeerFinder::ask(const std::string& method, const Json::Value& parameters) const
{
    return each([&](const Peers::PeerClient& client, const std::string& peer) { return client.call(peer, method, parameters); });
}

PeerAnswers PeerFinder::each(const std::function<Common::Result<Json::Value>(const Peers::PeerClient&, const std::string&)>& call) const
{
    PeerAnswers answers;
    std::mutex mutex;
    std::atomic<std::size_t> next { 0 };
    auto work = [&] {
        for (auto i = next++; i < m_peers.size(); i = next++) {
            auto answer = call(*m_client, m_peers[i]);
            std::lock_guard lock(mutex);
            if (answer)
                answers.answered[m_peers[i]] = answer.value();
            else
                answers.failed[m_peers[i]] = answer.error().text;
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(maxParallelCalls, m_peers.size()); ++i)
        threads.emplace_back(work);
    for (auto& thread : threads)
        thread.join();
    return answers;
}

}
