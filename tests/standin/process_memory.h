#pragma once

/** @file What the test's own process holds. */

#include <cstddef>
#include <fstream>

#include <unistd.h>

namespace standin
{

/** @returns resident memory of this process, in bytes. */
inline std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}
