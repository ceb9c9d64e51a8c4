#include "Common/FreeMemory.h"

#include <malloc.h>

namespace Common {

void returnLargeBlocks()
{
    // Unless it is set, the limit grows with the largest block that was freed, and later ones of that size stay with the process.
    constexpr int largeBlockBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

void releaseFreeMemory()
{
    malloc_trim(0);
}

}
