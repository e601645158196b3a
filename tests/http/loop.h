#pragma once

#include <glib.h>
#include <utility>

namespace cactusloom {

// Runs the event loop until `done()` is true. The test runner's timeout ends a test that hangs.
template<typename Predicate>
void run_until(Predicate done)
{
    while (!done()) {
        // Never blocks, because sockets that only the predicate reads do not wake the loop.
        if (!g_main_context_iteration(nullptr, FALSE)) {
            g_usleep(200);
        }
    }
}

// Dispatches all ready sources without blocking.
inline void run_ready()
{
    while (g_main_context_iteration(nullptr, FALSE)) {
    }
}

} // namespace cactusloom
