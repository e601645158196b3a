#include "base/glib_timer_service.h"
#include "base/log.h"
#include "daemon/instance.h"
#include "signal_source.h"

#include <csignal>
#include <fmt/format.h>
#include <glib.h>

using namespace cactusloom;

namespace {

constexpr int exit_usage = 2;

struct lifecycle {
    GMainLoop* loop = nullptr;
    instance* running = nullptr;
    timer_service* timers = nullptr;
    std::chrono::seconds limit{};
    bool stopping = false;
};

void begin_shutdown(lifecycle* self)
{
    if (std::exchange(self->stopping, true)) {
        return;
    }
    log_event("shutting_down", "limit_s={}", self->limit.count());
    self->running->shut_down([self] { g_main_loop_quit(self->loop); });
    self->timers->schedule(self->limit, [self] {
        log_event("shutdown_limit_passed", "");
        g_main_loop_quit(self->loop);
    });
}

} // namespace

int main(int argc, const char** argv)
{
    const auto settings = read_daemon_settings(argc, argv);
    if (!settings) {
        fmt::print(stderr, "cactusloomd: {}\nTry 'cactusloomd --help'.\n",
                   settings.error().message);
        return exit_usage;
    }
    if (settings.value().help) {
        fmt::print("{}", settings.value().help_text);
        return 0;
    }
    if (settings.value().version) {
        fmt::print("cactusloomd {}\n", CACTUSLOOM_VERSION);
        return 0;
    }
    (void)std::signal(SIGPIPE, SIG_IGN);
    glib_timer_service timers;
    auto started = instance::start(settings.value(), timers);
    if (!started) {
        log_event("start_failed", "reason=\"{}\"", started.error().message);
        return 1;
    }
    lifecycle life;
    life.loop = g_main_loop_new(nullptr, FALSE);
    life.running = started.value().get();
    life.timers = &timers;
    life.limit = std::chrono::seconds{settings.value().shutdown_seconds};
    const signal_source signals({SIGTERM, SIGINT}, [&life](int) { begin_shutdown(&life); });
    log_event("listening", "address={} name={}", life.running->address(), settings.value().name);
    g_main_loop_run(life.loop);
    log_event("stopped", "");
    started.value().reset();
    g_main_loop_unref(life.loop);
    return 0;
}
