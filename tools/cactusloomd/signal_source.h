#pragma once

#include <functional>
#include <glib.h>
#include <initializer_list>

namespace cactusloom {

// Delivers signals through the loop. g_unix_signal_add is not used because it starts a thread of
// GLib's own ("gmain"); a signalfd needs none. Must be made before anything starts a thread.
class signal_source {
public:
    signal_source(std::initializer_list<int> signals, std::function<void(int)> on_signal);
    ~signal_source();

    // Keeps signals pending until a source for them is made.
    static void block(std::initializer_list<int> signals);

    signal_source(const signal_source&) = delete;
    signal_source& operator=(const signal_source&) = delete;

private:
    std::function<void(int)> on_signal_;
    int descriptor_ = -1;
    guint source_ = 0;
};

} // namespace cactusloom
