#pragma once

#include <cstdint>
#include <limits>
#include <sstream>
#include <string>

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>
#include <Poco/MemoryStream.h>

namespace Peers {

// Compact binary form by POCO's binary streams: numbers in network byte order, texts of up to 255 bytes after their length.
class ByteWriter {
public:
    ByteWriter()
        : m_writer(m_stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER)
    {
    }

    void byte(std::uint8_t value) { m_writer << value; }
    void number(std::uint64_t value) { m_writer << static_cast<Poco::UInt64>(value); }
    void number32(std::uint32_t value) { m_writer << static_cast<Poco::UInt32>(value); }
    void text(const std::string& value)
    {
        auto cut = value.substr(0, std::numeric_limits<std::uint8_t>::max());
        byte(static_cast<std::uint8_t>(cut.size()));
        m_writer.writeRaw(cut);
    }
    std::string bytes()
    {
        m_writer.flush();
        return m_stream.str();
    }

private:
    std::ostringstream m_stream;
    Poco::BinaryWriter m_writer;
};

// Reads what ByteWriter wrote; after the end everything reads as 0 or empty and good() is false.
class ByteReader {
public:
    ByteReader(const char* bytes, std::size_t size)
        : m_stream(bytes, static_cast<std::streamsize>(size))
        , m_reader(m_stream, Poco::BinaryReader::NETWORK_BYTE_ORDER)
    {
    }

    std::uint8_t byte() { return read<std::uint8_t>(); }
    std::uint64_t number() { return read<Poco::UInt64>(); }
    std::uint32_t number32() { return read<Poco::UInt32>(); }
    std::string text()
    {
        auto size = byte();
        std::string value;
        m_reader.readRaw(size, value);
        return good() ? value : std::string();
    }
    std::string rest()
    {
        std::ostringstream out;
        if (m_stream.peek() != std::char_traits<char>::eof())
            out << m_stream.rdbuf();
        m_stream.clear(m_stream.rdstate() & ~(std::ios::eofbit));
        return out.str();
    }
    bool good() const { return !m_stream.fail(); }

private:
    template <typename T>
    T read()
    {
        T value = 0;
        m_reader >> value;
        return good() ? value : T(0);
    }

    Poco::MemoryInputStream m_stream;
    Poco::BinaryReader m_reader;
};

}
