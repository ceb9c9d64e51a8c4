#include "Targets.h"

#include <array>
#include <cstdlib>

#include <fmt/format.h>

namespace Fuzz {

namespace {

    constexpr std::array table {
        Target { "caller", runCaller },
        Target { "http", runHttp },
        Target { "record", runRecord },
        Target { "rows", runRows },
        Target { "settings", runSettings },
    };

}

std::span<const Target> targets()
{
    return table;
}

void require(bool condition, const char* what)
{
    if (condition)
        return;
    fmt::print(stderr, "fuzz: invariant violated: {}\n", what);
    std::abort();
}

}
