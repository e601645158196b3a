#pragma once

#include <functional>
#include <glib.h>
#include <initializer_list>

namespace cactusloom {

// Delivers signals through the event loop. Uses a signalfd because g_unix_signal_add starts a GLib
// thread ("gmain"). Must be constructed before the process starts any thread.
class signal_source {
public:
    signal_source(std::initializer_list<int> signals, std::function<void(int)> on_signal);
    ~signal_source();

    // Blocks signals, so that they stay pending until a signal_source for them is constructed.
    static void block(std::initializer_list<int> signals);

    signal_source(const signal_source&) = delete;
    signal_source& operator=(const signal_source&) = delete;

private:
    std::function<void(int)> on_signal_;
    int descriptor_ = -1;
    guint source_ = 0;
};

} // namespace cactusloom
