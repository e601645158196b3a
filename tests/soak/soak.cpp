#include "soak.h"

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

constexpr int process_count = 4;
constexpr int first_port = 18100;  // below the range of ephemeral ports
constexpr int ports_per_seed = 10; // so that several seeds can run in parallel
constexpr duration submit_interval = std::chrono::milliseconds{25};
constexpr duration caller_timeout = std::chrono::milliseconds{3000};
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

} // namespace

soak::soak(std::uint32_t seed, fault_set faults)
    : random_(seed + 1000), faults_(faults), base_port_(base_port_of(seed)),
      client_(events_, timers_), world_(events_, timers_), started_at_(timers_.monotonic_now())
{
    folder_ = std::filesystem::temp_directory_path() /
              fmt::format("cactusloom-soak-{}-{}", getpid(), seed);
    std::filesystem::create_directories(folder_);
    if (!world_.serve_store(fmt::format("127.0.1.1:{}", base_port_))) {
        violations_.push_back("the stand-in of the store cannot listen");
    }
    for (int i = 0; i < worker_count; ++i) {
        const auto address = fmt::format("127.0.1.{}:{}", i + 10, base_port_);
        const auto advertised = add_proxy(fmt::format("127.0.5.{}", i + 1), address);
        if (!world_.add_worker(fmt::format("w{}", i), address, {2000, 1000, 0}, advertised)) {
            violations_.push_back("a stand-in of a worker cannot listen");
        }
    }
    world_.put_configuration(version_, "/v1/");
    for (int i = 0; i < process_count; ++i) {
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
    std::filesystem::remove_all(folder_);
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
zone = "zone"
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
                       base_port_ + 1, base_port_ + 2, store);
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
    const auto& target = processes_[draw(process_count)];
    http_request call;
    call.method = "POST";
    call.target = "/v1/" + id;
    call.headers = {{"Host", "shop.example"},
                    {"Content-Type", "application/json"},
                    {"Deadline-Ms", std::to_string(caller_timeout.count() / 1000)}};
    call.body = fmt::format(R"({{"spec":"x","bestEffort":true,"steps":[{{"count":{},"cpu":1000,)"
                            R"("memMb":10,"estimateMs":100}}]}})",
                            1 + draw(3));
    ++sent_;
    sent_after_faults_ += faults_over_ ? 1 : 0;
    const bool sent_after_faults = faults_over_;
    client_.call(target.caller_address, call, caller_timeout + std::chrono::seconds{1},
                 [this, id, sent_after_faults](const pooled_http_client::outcome& outcome) {
                     const auto before = completed_;
                     on_answer(id, outcome);
                     completed_after_faults_ += sent_after_faults && completed_ > before ? 1 : 0;
                 });
}

void soak::on_answer(const std::string& id, const pooled_http_client::outcome& outcome)
{
    const auto* reply = std::get_if<http_response>(&outcome);
    if (reply == nullptr || reply->status == 504) {
        ++unknown_;
        return;
    }
    std::size_t starts = 0;
    for (int i = 0; i < 3; ++i) {
        starts += world_.fleet().starts_of(fmt::format("{}.0.0.{}", id, i));
    }
    if (reply->status == 503) {
        ++refused_;
        if (starts != 0) {
            violations_.push_back(
                fmt::format("{} {} refused as not run after {} starts", now_text(), id, starts));
        }
    }
    else if (reply->status == 200 && reply->body.find("completed") != std::string::npos) {
        ++completed_;
        if (starts == 0) {
            violations_.push_back(fmt::format("{} {} completed without a start", now_text(), id));
        }
    }
    else if (reply->status != 200) {
        violations_.push_back(fmt::format("{} {} answered {}", now_text(), id, reply->status));
    }
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
    run_for(caller_timeout + std::chrono::seconds{1});
    if (completed_after_faults_ * 100 < sent_after_faults_ * 95) {
        violations_.push_back(fmt::format("{} of {} jobs completed after the last fault",
                                          completed_after_faults_, sent_after_faults_));
    }
    check_configuration();
    violations_.insert(violations_.end(), world_.fleet().violations().begin(),
                       world_.fleet().violations().end());
    return violations_;
}

} // namespace cactusloom
