#include "base/glib_timer_service.h"
#include "base/log.h"
#include "daemon/instance.h"
#include "platform_instance.h"
#include "signal_source.h"

#include <csignal>
#include <fmt/format.h>
#include <glib.h>

using namespace cactusloom;

namespace {

constexpr int exit_usage = 2;

struct lifecycle {
    GMainLoop* loop = nullptr;
    std::function<void(std::function<void()>)> shut_down;
    std::function<void()> reload = [] {
        log_event("reload_ignored", "reason=\"settings come from flags, which need a restart\"");
    };
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
    self->shut_down([self] { g_main_loop_quit(self->loop); });
    self->timers->schedule(self->limit, [self] {
        log_event("shutdown_limit_passed", "");
        g_main_loop_quit(self->loop);
    });
}

void run_loop(lifecycle& life)
{
    const signal_source signals({SIGTERM, SIGINT, SIGHUP}, [&life](int signal) {
        if (signal == SIGHUP) {
            life.reload();
        }
        else {
            begin_shutdown(&life);
        }
    });
    g_main_loop_run(life.loop);
    log_event("stopped", "");
    g_main_loop_unref(life.loop);
}

// Runs an instance on the users' platform, where a settings file replaces flags and environment.
int run_on_platform()
{
    const auto settings = platform_adapter::read_node_settings();
    if (!settings) {
        log_event("start_failed", "reason=\"{}\"", settings.error().message);
        return exit_usage;
    }
    glib_timer_service timers;
    const auto started = platform_adapter::platform_instance::start(settings.value(), timers);
    if (!started) {
        log_event("start_failed", "reason=\"{}\"", started.error().message);
        return 1;
    }
    lifecycle life;
    life.loop = g_main_loop_new(nullptr, FALSE);
    life.timers = &timers;
    life.limit =
        std::chrono::duration_cast<std::chrono::seconds>(settings.value().shutdown_timeout);
    life.shut_down = [&](std::function<void()> done) {
        started.value()->shut_down(std::move(done));
    };
    life.reload = [&] { started.value()->reload(); };
    log_event("listening", "address={} name={}", settings.value().caller_address,
              settings.value().name);
    run_loop(life);
    return 0;
}

} // namespace

int main(int argc, const char** argv)
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    // Signals stay pending until the loop handles them; SIGHUP would kill a process during startup.
    signal_source::block({SIGTERM, SIGINT, SIGHUP});
    make_log_nonblocking();
    if (argc == 2 && std::string_view(argv[1]) == "platform") {
        return run_on_platform();
    }
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
    glib_timer_service timers;
    auto started = instance::start(settings.value(), timers);
    if (!started) {
        log_event("start_failed", "reason=\"{}\"", started.error().message);
        return 1;
    }
    lifecycle life;
    life.loop = g_main_loop_new(nullptr, FALSE);
    life.shut_down = [&](std::function<void()> done) {
        started.value()->shut_down(std::move(done));
    };
    life.timers = &timers;
    life.limit = std::chrono::seconds{settings.value().shutdown_seconds};
    log_event("listening", "address={} name={}", started.value()->address(), settings.value().name);
    run_loop(life);
    started.value().reset();
    return 0;
}
