#include "Net/Deflate.h"

#include <array>
#include <sstream>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

namespace Net {

namespace {

    constexpr int fastestLevel = 1;
    constexpr std::size_t bufferBytes = 16 * 1024;

}

std::string zlibCompress(std::string_view bytes)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream stream(out, Poco::DeflatingStreamBuf::STREAM_ZLIB, fastestLevel);
    stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    stream.close();
    return out.str();
}

std::optional<std::string> zlibDecompress(std::string_view bytes, std::size_t limit)
{
    Poco::MemoryInputStream in(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    std::string result;
    try {
        Poco::InflatingInputStream stream(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::array<char, bufferBytes> buf;
        while (stream.read(buf.data(), buf.size()) || stream.gcount() > 0) {
            result.append(buf.data(), static_cast<std::size_t>(stream.gcount()));
            if (result.size() > limit)
                return std::nullopt;
        }
        // Exceptions thrown by Poco's stream buffer are caught by the stream, which sets badbit.
        if (stream.bad())
            return std::nullopt;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
    return result;
}

}
