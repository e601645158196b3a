#include "soak.h"

#include "base/hash.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <glib.h>
#include <spawn.h>
#include <sys/wait.h>

namespace cactusloom {

namespace {

constexpr int first_port = 18100;  // below the range of ephemeral ports
constexpr int ports_per_seed = 10; // so that several seeds can run in parallel
constexpr duration submit_interval = std::chrono::milliseconds{25};
constexpr duration caller_timeout = std::chrono::milliseconds{3000};
// Callers that return (Deadline-Ms, resendMs), and how often they send a job.
constexpr duration patient_caller_timeout = std::chrono::milliseconds{6000};
constexpr duration resend_delay = std::chrono::milliseconds{1300};
constexpr std::uint32_t max_submissions = 3;
// No task of a cancelled job starts later than this after the acknowledgement (cancel_ms).
constexpr duration cancel_limit = std::chrono::milliseconds{4000};
constexpr int addresses_per_net = 200;
// Time for instance entries, elections and leases to recover after the last fault.
constexpr duration recovery_time = std::chrono::seconds{4};
constexpr duration time_after_faults = std::chrono::seconds{3};
// Specified bound: a configuration is in force everywhere within 2 s.
constexpr duration apply_limit = std::chrono::seconds{2};

int base_port_of(std::uint32_t seed)
{
    return first_port + ports_per_seed * static_cast<int>(seed % 100);
}

std::string ip_of(int index)
{
    return fmt::format("127.0.2.{}", index + 1);
}

std::string worker_ip(int net, int index)
{
    return fmt::format("127.{}.{}.{}", index / addresses_per_net, net,
                       index % addresses_per_net + 10);
}

std::string zone_of(int index, const soak_layout& layout)
{
    return fmt::format("zone-{}", index % layout.data_centres);
}

// The tasks of one job in three run for longer than a lease, those of another for about as long.
duration task_length(std::string_view job_id)
{
    constexpr duration lengths[] = {std::chrono::milliseconds{100}, std::chrono::milliseconds{900},
                                    std::chrono::milliseconds{2500}};
    return lengths[hash64(job_id) % std::size(lengths)];
}

} // namespace

soak::soak(std::uint32_t seed, fault_set faults, soak_layout layout)
    : random_(seed + 1000), faults_(faults), layout_(layout), base_port_(base_port_of(seed)),
      client_(events_, timers_), world_(events_, timers_), started_at_(timers_.monotonic_now())
{
    folder_ = std::filesystem::temp_directory_path() /
              fmt::format("cactusloom-soak-{}-{}", getpid(), seed);
    std::filesystem::create_directories(folder_);
    if (!world_.serve_store(fmt::format("127.0.1.1:{}", base_port_))) {
        violations_.push_back("the stand-in of the store cannot listen");
    }
    if (layout_.callers_return) {
        world_.fleet().work = [](const std::string& task) {
            return task_length(std::string_view(task).substr(0, task.find('.')));
        };
    }
    for (int i = 0; i < layout_.workers; ++i) {
        const auto address = fmt::format("{}:{}", worker_ip(1, i), base_port_);
        const auto advertised = add_proxy(worker_ip(5, i), address);
        if (!world_.add_worker(fmt::format("w{}", i), address, {2000, 1000, 0}, advertised,
                               zone_of(i, layout_))) {
            violations_.push_back("a stand-in of a worker cannot listen");
        }
    }
    world_.put_configuration(version_, "/v1/");
    processes_.reserve(static_cast<std::size_t>(layout_.instances)); // callbacks keep references
    for (int i = 0; i < layout_.instances; ++i) {
        auto& it = processes_.emplace_back();
        write_settings(it, i);
        start(it);
    }
}

soak::~soak()
{
    for (const auto& it : processes_) {
        if (it.pid > 0) {
            kill(it.pid, SIGCONT);
            kill(it.pid, SIGKILL);
            waitpid(it.pid, nullptr, 0);
        }
    }
    if (violations_.empty()) {
        std::filesystem::remove_all(folder_);
    }
}

void soak::write_settings(process& it, int index)
{
    it.name = fmt::format("instance-{}", index);
    it.settings_file = fmt::format("{}/{}.toml", folder_, it.name);
    it.caller_address = fmt::format("{}:{}", ip_of(index), base_port_);
    const auto link = fmt::format("{}:{}", ip_of(index), base_port_ + 2);
    it.advertised_link = add_proxy(fmt::format("127.0.4.{}", index + 1), link);
    const auto store =
        add_proxy(fmt::format("127.0.3.{}", index + 1), fmt::format("127.0.1.1:{}", base_port_));
    std::ofstream(it.settings_file)
        << fmt::format(R"(node = "{0}"
zone = "{7}"
ip = "{1}"
seeds = ["{2}"]
[listen]
front = "{1}:{3}"
readyAddr = "{1}:{4}"
control = "{1}:{5}"
[limits]
cpuShare = 1.0
maxFds = 4096
[bounds]
holdMaxMs = 1000
stopTimeoutMs = 50
graceS = 6
configApplyMs = 2000
remotePenalty = 1.0
[platform]
address = "{6}"
)",
                       it.name, ip_of(index), processes_.front().advertised_link, base_port_,
                       base_port_ + 1, base_port_ + 2, store, zone_of(index, layout_));
}

// Returns the address at which the target is reached through the proxy.
std::string soak::add_proxy(const std::string& ip, const std::string& target)
{
    auto address = fmt::format("{}:{}", ip, base_port_);
    auto proxy = loopback_proxy::start(events_, timers_, address, target);
    if (!proxy) {
        violations_.push_back("a proxy cannot listen: " + proxy.error().message);
        return target;
    }
    proxies_.push_back(std::move(proxy.value()));
    return address;
}

void soak::start(process& it)
{
    const auto log = fmt::format("{}/{}.log", folder_, it.name);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    std::string program = CACTUSLOOMD_PATH;
    std::string mode = "platform";
    char* arguments[] = {program.data(), mode.data(), nullptr};
    std::string settings = "CACTUSLOOM_BOOT=" + it.settings_file;
    std::string link = "CACTUSLOOM_ADVERTISE_LINK=" + it.advertised_link;
    char* environment[] = {settings.data(), link.data(), nullptr};
    if (posix_spawn(&it.pid, program.c_str(), &actions, nullptr, arguments, environment) != 0) {
        violations_.push_back(it.name + " cannot be started");
        it.pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
}

// Restarts processes that have ended after a short delay, as the platform does.
void soak::restart_ended()
{
    for (auto& it : processes_) {
        int status = 0;
        if (it.pid > 0 && waitpid(it.pid, &status, WNOHANG) == it.pid) {
            if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) {
                violations_.push_back(
                    fmt::format("{} {} ended by signal {}", now_text(), it.name, WTERMSIG(status)));
            }
            it.pid = 0;
            timers_.schedule(std::chrono::milliseconds{100 + draw(900)},
                             [this, &it] { start(it); });
        }
    }
}

std::string soak::now_text() const
{
    return fmt::format(
        "{:.3f} s", std::chrono::duration<double>(timers_.monotonic_now() - started_at_).count());
}

void soak::run_for(duration span)
{
    bool over = false;
    timers_.schedule(span, [&over] { over = true; });
    while (!over) {
        g_main_context_iteration(nullptr, TRUE);
        restart_ended();
    }
}

void soak::submit()
{
    if (!sending_) {
        return;
    }
    timers_.schedule(submit_interval, [this] { submit(); });
    const auto id = fmt::format("{:016x}", ++last_id_);
    const auto& target = any_process();
    auto& job = jobs_[id];
    job.tasks = 1 + draw(3);
    job.sent_after_faults = faults_over_;
    ++sent_;
    sent_after_faults_ += faults_over_ ? 1 : 0;
    send(id, target);
    if (layout_.callers_return && !faults_over_ && draw(12) == 0) {
        timers_.schedule(std::chrono::milliseconds{100 + draw(800)}, [this, id] { cancel(id); });
    }
}

void soak::send(const std::string& id, const process& target)
{
    auto& job = jobs_[id];
    ++job.submissions;
    const auto timeout = layout_.callers_return ? patient_caller_timeout : caller_timeout;
    const auto estimate = layout_.callers_return ? task_length(id) : std::chrono::milliseconds{100};
    http_request call;
    call.method = "POST";
    call.target = "/v1/" + id;
    call.headers = {{"Host", "shop.example"},
                    {"Content-Type", "application/json"},
                    {"Deadline-Ms", std::to_string(timeout.count() / 1000)}};
    call.body = fmt::format(R"({{"spec":"x","bestEffort":true,"steps":[{{"count":{},"cpu":1000,)"
                            R"("memMb":10,"estimateMs":{}}}]}})",
                            job.tasks, estimate.count() / 1000);
    const bool loses_connection =
        layout_.callers_return && !faults_over_ && draw(layout_.instances_in_slices ? 2 : 5) == 0;
    client_.call(
        target.caller_address, call,
        loses_connection ? duration{std::chrono::milliseconds{100 + draw(1200)}}
                         : timeout + std::chrono::seconds{1},
        [this, id](const pooled_http_client::outcome& outcome) { on_answer(id, outcome); });
}

void soak::send_again(const std::string& id)
{
    const auto& job = jobs_[id];
    if (!layout_.callers_return || job.submissions == max_submissions || job.cancelled) {
        return;
    }
    timers_.schedule(resend_delay, [this, id] {
        if (sending_) { // later there is another queue
            send(id, any_process());
        }
    });
}

std::size_t soak::starts_of(const std::string& id) const
{
    std::size_t n = 0;
    for (std::uint32_t i = 0; i < jobs_.at(id).tasks; ++i) {
        n += world_.fleet().starts_of(fmt::format("{}.0.0.{}", id, i));
    }
    return n;
}

// True if a task has failed as often as the configuration allows.
bool soak::has_failed(const std::string& id) const
{
    constexpr std::size_t attempts = 3;
    for (std::uint32_t i = 0; i < jobs_.at(id).tasks; ++i) {
        if (world_.fleet().failures_of(fmt::format("{}.0.0.{}", id, i)) >= attempts) {
            return true;
        }
    }
    return false;
}

// No task may start of a job of which every submission was refused as not run.
void soak::check_refused(const std::string& id)
{
    if (const auto starts = starts_of(id); jobs_.at(id).rejected && starts != 0) {
        violations_.push_back(
            fmt::format("{} {} refused as not run after {} starts", now_text(), id, starts));
    }
}

void soak::on_answer(const std::string& id, const pooled_http_client::outcome& outcome)
{
    auto& job = jobs_[id];
    const auto* reply = std::get_if<http_response>(&outcome);
    const bool is_refused = reply != nullptr && reply->status == 503;
    job.rejected = job.rejected && is_refused;
    if (reply == nullptr || reply->status == 504) {
        ++unknown_;
        send_again(id);
        return;
    }
    if (reply->status == 200) {
        const bool completed = reply->body.find("completed") != std::string::npos;
        completed_ += completed ? 1 : 0;
        completed_after_faults_ += completed && job.sent_after_faults ? 1 : 0;
        if (completed && starts_of(id) == 0) {
            violations_.push_back(fmt::format("{} {} completed without a start", now_text(), id));
        }
        if (!completed && !job.cancelled && !has_failed(id)) {
            violations_.push_back(
                fmt::format("{} {} failed without cause: {}", now_text(), id, reply->body));
        }
    }
    else if (is_refused) {
        ++refused_;
        check_refused(id);
    }
    else {
        violations_.push_back(fmt::format("{} {} answered {}", now_text(), id, reply->status));
    }
}

// Cancels a job at any instance. A copy of its submission that arrives later must not run.
void soak::cancel(const std::string& id)
{
    jobs_[id].cancelled = true; // it may be answered `failed` from now on
    http_request call;
    call.method = "DELETE";
    call.target = "/v1/" + id;
    call.headers = {{"Host", "shop.example"}};
    client_.call(any_process().caller_address, call, std::chrono::seconds{1},
                 [this, id](const pooled_http_client::outcome& outcome) {
                     const auto* reply = std::get_if<http_response>(&outcome);
                     if (reply == nullptr || reply->status != 200) {
                         return; // nothing was promised
                     }
                     timers_.schedule(cancel_limit, [this, id] { check_cancelled(id); });
                 });
}

void soak::check_cancelled(const std::string& id)
{
    const auto starts = starts_of(id);
    send(id, any_process());
    timers_.schedule(resend_delay, [this, id, starts] {
        if (starts_of(id) != starts) {
            violations_.push_back(
                fmt::format("{} {} has started although it was cancelled", now_text(), id));
        }
    });
}

// Writes a new configuration version and checks after the bound that each instance serves its
// queue.
void soak::check_configuration()
{
    world_.put_configuration(++version_, "/v2/");
    run_for(apply_limit);
    for (const auto& it : processes_) {
        http_request call;
        call.target = "/v2/";
        call.headers = {{"Host", "shop.example"}};
        client_.call(it.caller_address, call, std::chrono::seconds{1},
                     [this, name = it.name](const pooled_http_client::outcome& outcome) {
                         const auto* reply = std::get_if<http_response>(&outcome);
                         if (reply == nullptr || reply->status != 200) {
                             violations_.push_back(fmt::format("{} {} does not serve the new queue",
                                                               now_text(), name));
                         }
                     });
    }
    run_for(std::chrono::milliseconds{1200});
}

std::vector<std::string> soak::run_faults(duration length)
{
    run_for(std::chrono::milliseconds{1500});
    submit();
    inject();
    if (layout_.instances_in_slices) {
        slow_down_instance();
    }
    run_for(length);
    sending_ = false; // ends fault injection as well
    clear_all_faults();
    run_for(recovery_time);
    clear_all_faults(); // faults that had not ended yet
    sending_ = true;
    faults_over_ = true;
    submit();
    run_for(time_after_faults);
    sending_ = false;
    run_for((layout_.callers_return ? patient_caller_timeout : caller_timeout) +
            std::chrono::seconds{1});
    if (completed_after_faults_ * 100 < sent_after_faults_ * 95) {
        violations_.push_back(fmt::format("{} of {} jobs completed after the last fault",
                                          completed_after_faults_, sent_after_faults_));
    }
    for (const auto& [id, job] : jobs_) {
        check_refused(id); // a task may have started after the answer
    }
    check_configuration();
    violations_.insert(violations_.end(), world_.fleet().violations().begin(),
                       world_.fleet().violations().end());
    if (!violations_.empty()) {
        violations_.push_back("the logs are in " + folder_);
    }
    return violations_;
}

} // namespace cactusloom
