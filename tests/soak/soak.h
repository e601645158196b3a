#pragma once

#include "base/glib_timer_service.h"
#include "base/random.h"
#include "net/pooled_http_client.h"
#include "stand_in/loopback_proxy.h"
#include "stand_in/simulated_platform.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cactusloom {

// Machines and callers of a run.
struct soak_layout {
    int instances = 4;
    int workers = 8;
    int data_centres = 1; // each is a cell of its own if there are more than 120 workers
    // Callers leave, lose their connection, cancel, and send a job again at any instance; and some
    // tasks last longer than a lease.
    bool callers_return = false;
    // Instances get processor time only in slices of a few ms for a while, and half of the callers
    // lose their connections.
    bool instances_in_slices = false;
};

// Runs one seed: daemons as separate processes against a platform stand-in in this process, with
// overlapping faults. Daemons are killed, stopped, paused and restarted, the store is unavailable,
// and workers lose replies, execute messages late, fail tasks or hang. Connections between
// instances and to workers and the store pass through proxies, which delay, block one direction,
// close or blackhole them. Checks the replies to callers and the starts on workers.
class soak {
public:
    // Seeds that failed before the proxies existed are run without network faults.
    enum class fault_set { all, without_network };

    explicit soak(std::uint32_t seed, fault_set faults = fault_set::all, soak_layout layout = {});
    ~soak();
    soak(const soak&) = delete;
    soak& operator=(const soak&) = delete;

    // Injects faults for `length`, then runs a while without any. Returns the violations, each with
    // its time.
    std::vector<std::string> run_faults(duration length);

    std::size_t completed() const { return completed_; }
    std::size_t refused() const { return refused_; }
    std::size_t unknown() const { return unknown_; }
    std::size_t sent() const { return sent_; }

private:
    struct process {
        std::string name;
        std::string settings_file;
        std::string caller_address;
        std::string advertised_link;
        pid_t pid = 0;
    };
    // Target and duration of one fault.
    struct fault_target {
        process* instance = nullptr;
        memory_worker_fleet::faults* worker = nullptr;
        duration length{};
    };
    using fault = void (soak::*)(const fault_target&);
    // A job of a caller, over all of its submissions.
    struct caller_job {
        std::uint32_t tasks = 0;
        std::uint32_t submissions = 0;
        bool rejected = true; // so far every submission was
        bool cancelled = false;
        bool sent_after_faults = false;
    };

    void write_settings(process& it, int index);
    void start(process& it);
    void restart_ended();
    void run_for(duration span);
    void submit();
    void send(const std::string& id, const process& target);
    void on_answer(const std::string& id, const pooled_http_client::outcome& outcome);
    void check_refused(const std::string& id);
    void send_again(const std::string& id);
    void cancel(const std::string& id);
    void check_cancelled(const std::string& id);
    std::size_t starts_of(const std::string& id) const;
    bool has_failed(const std::string& id) const;
    process& any_process()
    {
        return processes_[draw(static_cast<std::uint32_t>(processes_.size()))];
    }
    std::string add_proxy(const std::string& ip, const std::string& target);
    loopback_proxy& any_proxy()
    {
        return *proxies_[draw(static_cast<std::uint32_t>(proxies_.size()))];
    }
    static void signal(const process& it, int number);

    void inject();
    void slow_down_instance();
    void run_next_slice(process& it, pid_t pid, monotonic_time end);
    void kill_instance(const fault_target& on);
    void stop_instance(const fault_target& on);
    void pause_instance(const fault_target& on);
    void kill_several_instances(const fault_target& on);
    void silence_store(const fault_target& on);
    void refuse_at_store(const fault_target& on);
    void silence_worker(const fault_target& on);
    void lose_replies(const fault_target& on);
    void delay_starts(const fault_target& on);
    void fail_tasks(const fault_target& on);
    void reload_instance(const fault_target& on);
    void delay_connections(const fault_target& on);
    void block_one_direction(const fault_target& on);
    void blackhole_connections(const fault_target& on);
    void close_connections(const fault_target& on);
    void clear_all_faults();
    void check_configuration();
    std::string now_text() const;
    std::uint32_t draw(std::uint32_t bound) { return draw_below(random_, bound); }

    random_engine random_;
    fault_set faults_;
    soak_layout layout_;
    std::map<std::string, caller_job> jobs_; // by id
    int base_port_;
    glib_timer_service timers_;
    poller events_;
    pooled_http_client client_;
    platform_adapter::simulated_platform world_;
    std::vector<std::unique_ptr<loopback_proxy>> proxies_;
    std::string folder_;
    std::vector<process> processes_;
    std::vector<std::string> violations_;
    monotonic_time started_at_;
    bool sending_ = true;
    bool faults_over_ = false;
    std::size_t sent_after_faults_ = 0;
    std::size_t completed_after_faults_ = 0;
    std::uint64_t last_id_ = 0;
    std::int64_t version_ = 1;
    std::size_t sent_ = 0;
    std::size_t completed_ = 0;
    std::size_t refused_ = 0;
    std::size_t unknown_ = 0;
};

} // namespace cactusloom
