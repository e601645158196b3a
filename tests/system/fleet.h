#pragma once

#include "account/account_reader.h"
#include "config/config_record_codec.h"
#include "entry/entry_instance.h"
#include "fake_platform.h"
#include "membership/cluster.h"
#include "stand_in/memory_log.h"

#include <array>
#include <optional>
#include <set>

namespace cactusloom::system_test {

inline constexpr std::uint64_t checksum_key = 99;
inline constexpr std::size_t data_centres = 3;
inline constexpr std::size_t worker_count = 6;

// A configuration document as operators would write it.
std::string fleet_document();

// Entry instances made of the real modules on fakes, in virtual time. Callers submit through
// serve(), which acts like the HTTP layer: it serves, forwards once, or replies unknown.
class fleet {
public:
    struct node {
        std::string name;
        std::string address;
        std::size_t data_centre = 0;
        std::unique_ptr<pausable_timer_service> timers;
        std::unique_ptr<platform_link> platform;
        std::unique_ptr<peer_transport> transport;
        std::unique_ptr<config_peer_source> config_peers;
        std::unique_ptr<entry_instance> instance;
        bool paused = false;
        log_offset newest_version = 0;
    };

    struct job_reply {
        job_state state = job_state::unknown;
        std::string reason;
        std::vector<std::string> answers;
    };
    using reply_callback = std::function<void(job_reply)>;

    explicit fleet(std::uint64_t seed);
    ~fleet();

    // Events.
    node& start(std::size_t number);
    void kill(std::size_t number);
    void set_paused(std::size_t number, bool paused);
    void shut_down(std::size_t number);
    void set_data_centre_partitioned(std::size_t data_centre, bool partitioned);
    void set_platform_partitioned(std::size_t data_centre, bool partitioned);

    // Passes a submission to instance `number`. `done` does not run if that instance is dead,
    // paused or dies first; the caller then sees a lost connection.
    void serve(std::size_t number, submission_request request, const reply_callback& done);
    std::optional<std::string> prefix_of(std::size_t number);

    void run(duration span);
    bool is_running(std::size_t number) const { return nodes_.contains(number); }
    node& operator[](std::size_t number) { return *nodes_.at(number); }
    std::map<std::size_t, std::unique_ptr<node>>& nodes() { return nodes_; }

    // Publishes an edit through instance `number`; the outcome is not awaited.
    void edit(std::size_t number, std::string_view section, std::string author,
              std::string content);

    account_statement statement(const std::string& customer);
    timer_service& timers() { return timers_; }
    memory_log& log() { return log_; }
    fake_workers& workers() { return workers_; }

    // Invariant violations that were detected while running.
    std::vector<std::string>& violations() { return violations_; }

private:
    bool is_connected(std::size_t a, std::size_t b) const;
    void serve_here(node& it, submission_request request, const reply_callback& done);
    void retire(std::size_t number);

    void check_versions();

    virtual_timer_service timers_;
    memory_log log_{timers_};
    fake_workers workers_{timers_, worker_count};
    std::vector<std::string> violations_;
    std::uint64_t edits_ = 0;
    memory_peer_network network_{std::chrono::milliseconds{1}};
    std::uint64_t seed_;
    std::uint64_t incarnations_ = 0;
    std::set<std::size_t> partitioned_;
    std::set<std::size_t> platform_partitioned_;
    std::map<std::string, std::size_t> data_centre_by_address_;
    std::vector<std::unique_ptr<node>> retired_;
    std::map<std::size_t, std::unique_ptr<node>> nodes_;
};

} // namespace cactusloom::system_test
