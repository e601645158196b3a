#pragma once

#include "base/glib_timer_service.h"
#include "base/random.h"
#include "net/pooled_http_client.h"
#include "stand_in/platform_world.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cactusloom {

// Plays one seed: real daemons as separate processes against the platform in this process, with
// processes that are killed, stopped, paused and restarted, a store that is away, and workers that
// lose replies, carry out orders late, fail, hang or fall silent. Faults overlap. It checks what
// callers and workers see.
class soak {
public:
    explicit soak(std::uint32_t seed);
    ~soak();
    soak(const soak&) = delete;
    soak& operator=(const soak&) = delete;

    // Plays `length` of faults and a calm end. Returns what was broken, each with its time.
    std::vector<std::string> play(duration length);

    std::size_t completed() const { return completed_; }
    std::size_t refused() const { return refused_; }
    std::size_t unknown() const { return unknown_; }
    std::size_t sent() const { return sent_; }

private:
    struct process {
        std::string name;
        std::string settings_file;
        std::string caller_address;
        pid_t pid = 0;
    };

    void write_settings(process& it, int index);
    void start(process& it);
    void collect_ended();
    void run_for(duration span);
    void submit();
    void on_answer(const std::string& id, const pooled_http_client::outcome& outcome);
    void inject();
    void heal_everything();
    void check_configuration();
    std::string now_text() const;
    std::uint32_t draw(std::uint32_t bound) { return draw_below(random_, bound); }

    random_engine random_;
    int base_port_;
    glib_timer_service timers_;
    poller events_;
    pooled_http_client client_;
    platform_adapter::platform_world world_;
    std::string folder_;
    std::vector<process> processes_;
    std::vector<std::string> findings_;
    monotonic_time began_;
    bool sending_ = true;
    bool calm_ = false;
    std::size_t calm_sent_ = 0;
    std::size_t calm_completed_ = 0;
    std::uint64_t last_id_ = 0;
    std::int64_t version_ = 1;
    std::size_t sent_ = 0;
    std::size_t completed_ = 0;
    std::size_t refused_ = 0;
    std::size_t unknown_ = 0;
};

} // namespace cactusloom
