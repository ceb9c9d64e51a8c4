#include <cstdint>
#include <cstdlib>

#include "Targets.h"

// The environment variable FUZZ_TARGET selects the target. Tools/fuzz sets it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) // NOLINT(readability-identifier-naming)
{
    static const auto* target = [] {
        const auto* name = std::getenv("FUZZ_TARGET");
        for (const auto& candidate : Fuzz::targets()) {
            if (name && candidate.name == name)
                return &candidate;
        }
        std::abort();
    }();
    target->run(std::string(reinterpret_cast<const char*>(bytes), size));
    return 0;
}
