#pragma once

namespace Common {

// Makes the allocator give large blocks back to the system as soon as they are freed. Called before threads are started.
void returnLargeBlocks();

// Gives the allocator's free memory back to the system. Takes some milliseconds for 100 MB.
void releaseFreeMemory();

}
