#include <cstdint>
#include <cstdlib>

#include "Targets.h"

// The target is chosen by FUZZ_TARGET in the environment; Tools/fuzz sets it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) // NOLINT(readability-identifier-naming)
{
    static const auto* chosen = [] {
        const auto* name = std::getenv("FUZZ_TARGET");
        for (const auto& target : Fuzz::targets()) {
            if (name && target.name == name)
                return &target;
        }
        std::abort();
    }();
    chosen->run(std::string(reinterpret_cast<const char*>(bytes), size));
    return 0;
}
