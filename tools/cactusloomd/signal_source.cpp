#include "signal_source.h"

#include <csignal>
#include <glib-unix.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace cactusloom {

namespace {

sigset_t set_of(std::initializer_list<int> signals)
{
    sigset_t set;
    sigemptyset(&set);
    for (const int it : signals) {
        sigaddset(&set, it);
    }
    return set;
}

} // namespace

void signal_source::block(std::initializer_list<int> signals)
{
    const sigset_t set = set_of(signals);
    sigprocmask(SIG_BLOCK, &set, nullptr);
}

signal_source::signal_source(std::initializer_list<int> signals, std::function<void(int)> on_signal)
    : on_signal_(std::move(on_signal))
{
    block(signals);
    const sigset_t set = set_of(signals);
    descriptor_ = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    source_ = g_unix_fd_add(
        descriptor_, G_IO_IN,
        [](gint descriptor, GIOCondition, gpointer data) -> gboolean {
            signalfd_siginfo info{};
            while (read(descriptor, &info, sizeof info) == sizeof info) {
                static_cast<signal_source*>(data)->on_signal_(static_cast<int>(info.ssi_signo));
            }
            return G_SOURCE_CONTINUE;
        },
        this);
}

signal_source::~signal_source()
{
    g_source_remove(source_);
    close(descriptor_);
}

} // namespace cactusloom
