#include "Net/OutputBuffer.h"

#include <doctest/doctest.h>

TEST_CASE("An output buffer keeps no memory of what was sent")
{
    constexpr std::size_t longBytes = 500'000;
    constexpr std::size_t fewBytes = 2'000;
    constexpr std::size_t kept = 16 * 1024;
    Net::OutputBuffer buffer;
    for (int i = 0; i < 10; ++i)
        buffer.append(std::string(longBytes / 10, 'x'));
    buffer.append(std::string(fewBytes, 'y'));
    buffer.consume(longBytes);
    CHECK(buffer.unsent() == std::string(fewBytes, 'y'));
    CHECK(buffer.capacity() <= kept);
    buffer.append(std::string(longBytes, 'z'));
    buffer.consume(buffer.size() - 1); // short strings have no memory of their own to take over
    CHECK(buffer.capacity() <= kept);
    buffer.append(std::string(longBytes, 'z'));
    buffer.consume(buffer.size());
    CHECK(buffer.empty());
    CHECK(buffer.capacity() <= kept);
}
