#include "Peers/MessageSeal.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include "Common/NameTable.h"
#include "Peers/ByteCodec.h"

namespace Peers {

namespace {

    constexpr std::array refusalNames {
        Common::EnumName<Refusal> { Refusal::Malformed, "malformed" },
        Common::EnumName<Refusal> { Refusal::BadSignature, "bad-signature" },
        Common::EnumName<Refusal> { Refusal::WrongReceiver, "wrong-receiver" },
        Common::EnumName<Refusal> { Refusal::OutOfTime, "out-of-time" },
        Common::EnumName<Refusal> { Refusal::Replayed, "replayed" },
    };

}

std::string_view refusalName(Refusal refusal)
{
    return Common::nameOf(refusalNames, refusal);
}

MessageSeal::MessageSeal(SealOptions options)
    : m_options(std::move(options))
{
}

std::string MessageSeal::seal(Purpose purpose, const std::string& receiver, const std::string& payload)
{
    ByteWriter writer;
    writer.byte(static_cast<std::uint8_t>(purpose));
    writer.text(m_options.self);
    writer.text(receiver);
    writer.number(m_options.run);
    writer.number(++m_sequence);
    writer.number(static_cast<std::uint64_t>(m_options.wallMs()));
    auto bytes = writer.bytes() + payload;
    return bytes + tag(bytes.data(), bytes.size());
}

Common::Result<Opened> MessageSeal::open(Purpose purpose, const std::string& bytes)
{
    if (bytes.size() < tagBytes)
        return refuse(Refusal::Malformed);
    auto size = bytes.size() - tagBytes;
    Opened opened { .sender = {}, .payload = {}, .tag = bytes.substr(size) };
    // First of all: nothing of an unsigned message is read.
    if (CRYPTO_memcmp(tag(bytes.data(), size).data(), opened.tag.data(), tagBytes) != 0)
        return refuse(Refusal::BadSignature);
    ByteReader reader(bytes.data(), size);
    auto sealedFor = reader.byte();
    opened.sender = reader.text();
    auto receiver = reader.text();
    auto run = reader.number();
    auto sequence = reader.number();
    auto sentMs = static_cast<std::int64_t>(reader.number());
    opened.payload = reader.rest();
    if (!reader.good())
        return refuse(Refusal::Malformed);
    if (receiver != m_options.self || sealedFor != static_cast<std::uint8_t>(purpose))
        return refuse(Refusal::WrongReceiver);
    if (std::abs(m_options.wallMs() - sentMs) > m_options.maxSkewMs)
        return refuse(Refusal::OutOfTime);
    if (!isNew(opened.sender, run, sequence))
        return refuse(Refusal::Replayed);
    return opened;
}

bool MessageSeal::isNew(const std::string& name, std::uint64_t run, std::uint64_t sequence)
{
    std::lock_guard lock(m_mutex);
    auto nowMs = m_options.wallMs();
    auto it = m_senders.find(name);
    if (it == m_senders.end() || run > it->second.run) {
        if (m_senders.size() >= m_options.maxSenders)
            forgetOld();
        auto& sender = m_senders[name] = Sender { .run = run, .highest = sequence, .heardMs = nowMs };
        sender.seen.set(0);
        return true;
    }
    auto& sender = it->second;
    if (run < sender.run)
        return false;
    if (sequence > sender.highest) {
        sender.seen <<= std::min<std::uint64_t>(sequence - sender.highest, windowSize);
        sender.highest = sequence;
    }
    auto age = sender.highest - sequence;
    if (age >= windowSize || sender.seen.test(age))
        return false;
    sender.seen.set(age);
    sender.heardMs = nowMs;
    return true;
}

void MessageSeal::forgetOld()
{
    // A message of a sender not heard for this long is refused by its time.
    auto limit = m_options.wallMs() - 2 * m_options.maxSkewMs;
    std::erase_if(m_senders, [&](const auto& item) { return item.second.heardMs < limit; });
    if (m_senders.size() < m_options.maxSenders)
        return;
    m_senders.erase(std::min_element(m_senders.begin(), m_senders.end(), [](const auto& a, const auto& b) { return a.second.heardMs < b.second.heardMs; }));
}

std::string MessageSeal::tag(const char* bytes, std::size_t size) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), m_options.key.data(), static_cast<int>(m_options.key.size()), reinterpret_cast<const unsigned char*>(bytes), size, digest.data(), &length);
    return { reinterpret_cast<const char*>(digest.data()), tagBytes };
}

Common::Error MessageSeal::refuse(Refusal refusal)
{
    ++m_refused[static_cast<std::size_t>(refusal)];
    return { Common::ResultCode::PeerRefused, std::string(refusalName(refusal)) };
}

std::uint64_t MessageSeal::refusedInAll() const
{
    return std::accumulate(m_refused.begin(), m_refused.end(), std::uint64_t(0), [](std::uint64_t sum, const auto& count) { return sum + count; });
}

}
