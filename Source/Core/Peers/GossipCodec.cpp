#include "Peers/GossipCodec.h"

#include "Peers/ByteCodec.h"

namespace Peers {

namespace {

    using Decisions::GossipKind;
    using Decisions::GossipMessage;
    using Decisions::HintKind;
    using Decisions::MemberRecord;
    using Decisions::MemberState;
    using Decisions::ServerHint;

    constexpr std::uint8_t stateMask = 3;
    constexpr std::uint8_t leavingBit = 4;
    constexpr std::uint8_t readyBit = 8;

    void write(ByteWriter& writer, const MemberRecord& record)
    {
        writer.text(record.peerAddress);
        writer.text(record.address);
        writer.text(record.failureDomain);
        writer.number(record.incarnation);
        writer.byte(static_cast<std::uint8_t>(static_cast<std::uint8_t>(record.state) | (record.leaving ? leavingBit : 0) | (record.ready ? readyBit : 0)));
        writer.byte(static_cast<std::uint8_t>(record.unavailableServices.size()));
        for (auto tag : record.unavailableServices)
            writer.number32(tag);
    }

    void write(ByteWriter& writer, const ServerHint& hint)
    {
        writer.text(hint.service);
        writer.text(hint.server);
        writer.byte(static_cast<std::uint8_t>(hint.kind));
        writer.number(hint.incarnation);
    }

    // False where the bytes are no record.
    bool read(ByteReader& reader, MemberRecord& record)
    {
        record.peerAddress = reader.text();
        record.address = reader.text();
        record.failureDomain = reader.text();
        record.incarnation = reader.number();
        auto flags = reader.byte();
        if ((flags & stateMask) > static_cast<std::uint8_t>(MemberState::Failed) || flags > (stateMask | leavingBit | readyBit))
            return false;
        record.state = static_cast<MemberState>(flags & stateMask);
        record.leaving = (flags & leavingBit) != 0;
        record.ready = (flags & readyBit) != 0;
        auto count = reader.byte();
        for (std::size_t i = 0; i < count && reader.good(); ++i)
            record.unavailableServices.push_back(reader.number32());
        return reader.good() && !record.peerAddress.empty() && count <= Decisions::maxUnavailableServices;
    }

    bool read(ByteReader& reader, ServerHint& hint)
    {
        hint.service = reader.text();
        hint.server = reader.text();
        auto kind = reader.byte();
        hint.kind = static_cast<HintKind>(kind);
        hint.incarnation = reader.number();
        return reader.good() && kind <= static_cast<std::uint8_t>(HintKind::Ejected);
    }

    template <typename T>
    void writeAll(ByteWriter& writer, const std::vector<T>& items)
    {
        writer.byte(static_cast<std::uint8_t>(items.size()));
        for (const auto& item : items)
            write(writer, item);
    }

    template <typename T>
    bool readAll(ByteReader& reader, std::vector<T>& items)
    {
        auto count = reader.byte();
        for (std::size_t i = 0; i < count; ++i) {
            if (!read(reader, items.emplace_back()))
                return false;
        }
        return reader.good();
    }

}

std::string encodeGossip(const GossipMessage& message)
{
    ByteWriter writer;
    writer.byte(static_cast<std::uint8_t>(message.kind));
    writer.number(message.sequence);
    writer.text(message.subject);
    write(writer, message.sender);
    writer.number(message.headRevision);
    writer.number(message.clock);
    writeAll(writer, message.updates);
    writeAll(writer, message.hints);
    return writer.bytes();
}

Common::Result<GossipMessage> decodeGossip(const std::string& bytes)
{
    Common::Error malformed { Common::ResultCode::PeerRefused, "malformed" };
    ByteReader reader(bytes.data(), bytes.size());
    GossipMessage message;
    auto kind = reader.byte();
    if (kind > static_cast<std::uint8_t>(GossipKind::Push))
        return malformed;
    message.kind = static_cast<GossipKind>(kind);
    message.sequence = reader.number();
    message.subject = reader.text();
    if (!read(reader, message.sender))
        return malformed;
    message.headRevision = reader.number();
    message.clock = reader.number();
    if (!readAll(reader, message.updates) || !readAll(reader, message.hints) || !reader.rest().empty())
        return malformed;
    return message;
}

}
