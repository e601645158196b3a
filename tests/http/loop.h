#pragma once

#include <glib.h>
#include <utility>

namespace cactusloom {

// Runs the loop until `done()` holds. A test that never gets there is ended by its runner.
template<typename Predicate>
void run_until(Predicate done)
{
    while (!done()) {
        // Sockets that only the predicate reads do not wake the loop, so it never blocks.
        if (!g_main_context_iteration(nullptr, FALSE)) {
            g_usleep(200);
        }
    }
}

// Runs what is ready now, without waiting.
inline void run_ready()
{
    while (g_main_context_iteration(nullptr, FALSE)) {
    }
}

} // namespace cactusloom
