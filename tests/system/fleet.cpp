#include "fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace cactusloom::system_test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t instance_count = 6;

std::size_t data_centre_of(std::size_t number)
{
    return number % data_centres;
}

std::string data_centre_name(std::size_t n)
{
    return fmt::format("dc{}", n);
}

std::string address_of(std::size_t number)
{
    return fmt::format("10.0.0.{}:80", number);
}

// Asks the instances that this one can reach, as the peer RPC does.
class fleet_config_peers final : public config_peer_source {
public:
    using ask = std::function<std::vector<std::string>(log_offset)>;

    fleet_config_peers(timer_service& timers, ask fn) : timers_(timers), ask_(std::move(fn)) {}

    void fetch(log_offset newer_than, callback done) override
    {
        timers_.schedule(2ms,
                         [this, newer_than, done = std::move(done)] { done(ask_(newer_than)); });
    }

private:
    timer_service& timers_;
    ask ask_;
};

} // namespace

std::string fleet_document()
{
    std::string text = R"([owners]
owners = "platform"
deployment = "platform"
workers = "platform"
profile = "dispatch"
limits = "dispatch"
request_kinds = "dispatch"
teams = "accounts"
customers = "accounts"
account = "accounts"

[deployment]
name = "fleet"
lease_ms = 5000

[profile]
response_time_weight = 0.5
wasted_message_weight = 0.5
routing = "predicted_finish"
message_budget = 2.2
hedge_quantile = 0.95
retry_ratio = 0.1

[limits]
max_tasks_per_job = 700
max_queued_tasks = 20000
max_body_bytes = 1048576
max_deadline_ms = 60000
answer_retention_ms = 60000

[[request_kinds]]
name = "van_booking"
idempotent = false
second_start = false
run_time_ms = 100
deadline_ms = 3000

[[request_kinds]]
name = "stock_confirm"
idempotent = true
second_start = false
run_time_ms = 100
deadline_ms = 3000

[workers]
slots = 8
max_connections = 60
list = [
)";
    for (std::size_t n = 0; n < worker_count; ++n) {
        text += fmt::format("    {{ name = \"w{0}\", address = \"10.1.0.{0}:90\", rack = \"r{1}\", "
                            "data_centre = \"dc{1}\" }},\n",
                            n, n % data_centres);
    }
    text += R"(]

[[teams]]
name = "shops"
weight = 1.0
max_in_flight = 0

[customers]
list = [
    { id = "shop-0", team = "shops" },
    { id = "shop-1", team = "shops" },
]

[account]
appends_per_second = 100
)";
    return text;
}

fleet::fleet(std::uint64_t seed) : seed_(seed)
{
    for (worker_id id = 0; id < worker_count; ++id) {
        workers_[id].data_centre = data_centre_name(id % data_centres);
    }
    config_edit first;
    first.id = "first";
    first.author = "platform";
    first.section = whole_document;
    first.content = fleet_document();
    log_.append("config", encode(first), [](const result<log_offset>& /*stored*/) {});
    network_.set_rule([this](std::string_view from, std::string_view to) {
        return is_connected(data_centre_by_address_.at(std::string(from)),
                            data_centre_by_address_.at(std::string(to)));
    });
}

fleet::~fleet()
{
    for (auto& [number, it] : nodes_) {
        it->platform->detach();
        it->instance.reset();
    }
}

bool fleet::is_connected(std::size_t a, std::size_t b) const
{
    return a == b || (!partitioned_.contains(a) && !partitioned_.contains(b));
}

fleet::node& fleet::start(std::size_t number)
{
    auto it = std::make_unique<node>();
    it->name = fmt::format("i{}", number);
    it->address = address_of(number);
    it->data_centre = data_centre_of(number);
    data_centre_by_address_[it->address] = it->data_centre;
    it->timers = std::make_unique<pausable_timer_service>(timers_);
    it->platform = std::make_unique<platform_link>(*it->timers, workers_, log_);
    it->platform->set_rule([this, data_centre = it->data_centre](worker_id id) {
        return is_connected(data_centre, id % data_centres);
    });
    it->platform->set_log_partitioned(platform_partitioned_.contains(it->data_centre) ||
                                      partitioned_.contains(it->data_centre));
    it->transport = network_.connect(it->address, *it->timers);
    it->config_peers = std::make_unique<fleet_config_peers>(
        *it->timers, [this, self = it.get()](log_offset newer_than) {
            std::vector<std::string> states;
            for (auto& [other, peer] : nodes_) {
                if (peer.get() != self && !peer->paused &&
                    is_connected(peer->data_centre, self->data_centre)) {
                    states.push_back(peer->instance->configuration().state_for_peer(newer_than));
                }
            }
            return states;
        });
    entry_options options;
    options.self.name = it->name;
    options.self.data_centre = data_centre_name(it->data_centre);
    options.self.address = it->address;
    options.self.incarnation = ++incarnations_;
    options.checksum_key = checksum_key;
    options.seed = seed_ * 1000 + incarnations_;
    options.config.seed = options.seed;
    for (std::size_t other = 0; other < instance_count; ++other) {
        options.seeds.push_back({fmt::format("i{}", other), data_centre_name(data_centre_of(other)),
                                 address_of(other), false});
    }
    it->instance = std::make_unique<entry_instance>(
        options, entry_dependencies{.timers = *it->timers,
                                    .log = *it->platform,
                                    .workers = *it->platform,
                                    .peers = *it->transport,
                                    .list = nullptr,
                                    .config_peers = it->config_peers.get(),
                                    .metrics = nullptr});
    network_.listen(it->address,
                    [instance = it->instance.get()](std::string_view request, auto answer) {
                        instance->membership().handle(request, std::move(answer));
                    });
    it->instance->start();
    return *(nodes_[number] = std::move(it));
}

void fleet::retire(std::size_t number)
{
    auto it = std::move(nodes_.at(number));
    nodes_.erase(number);
    network_.disconnect(it->address);
    it->platform->detach();
    it->timers->pause(); // timers that the process had scheduled never run
    it->instance.reset();
    retired_.push_back(std::move(it));
}

void fleet::kill(std::size_t number)
{
    retire(number);
}

void fleet::set_paused(std::size_t number, bool paused)
{
    node& it = *nodes_.at(number);
    it.paused = paused;
    if (paused) {
        it.timers->pause();
    }
    else {
        it.timers->resume();
    }
}

void fleet::shut_down(std::size_t number)
{
    nodes_.at(number)->instance->shut_down([] {});
}

void fleet::set_data_centre_partitioned(std::size_t data_centre, bool partitioned)
{
    partitioned ? (void)partitioned_.insert(data_centre) : (void)partitioned_.erase(data_centre);
    set_platform_partitioned(data_centre, partitioned);
}

void fleet::set_platform_partitioned(std::size_t data_centre, bool partitioned)
{
    partitioned ? (void)platform_partitioned_.insert(data_centre)
                : (void)platform_partitioned_.erase(data_centre);
    for (auto& [number, it] : nodes_) {
        if (it->data_centre == data_centre) {
            it->platform->set_log_partitioned(partitioned);
        }
    }
}

std::optional<std::string> fleet::prefix_of(std::size_t number)
{
    if (!is_running(number) || nodes_.at(number)->paused) {
        return std::nullopt;
    }
    entry_instance& instance = *nodes_.at(number)->instance;
    return instance.is_ready() ? std::optional(instance.jobs()->issue_prefix()) : std::nullopt;
}

void fleet::serve(std::size_t number, submission_request request, const reply_callback& done)
{
    if (!is_running(number) || nodes_.at(number)->paused) {
        return;
    }
    node& it = *nodes_.at(number);
    const submission_location place = it.instance->locate(request.id);
    if (place.place == submission_place::local) {
        serve_here(it, std::move(request), done);
        return;
    }
    if (place.place != submission_place::remote) {
        done({job_state::unknown, place.reason, {}});
        return;
    }
    const auto owner = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
        return entry.second->address == place.address;
    });
    if (owner == nodes_.end() || owner->second->paused ||
        !is_connected(owner->second->data_centre, it.data_centre)) {
        return; // the forwarded request is lost, so the caller gets no reply
    }
    if (owner->second->instance->locate(request.id).place != submission_place::local) {
        done({job_state::unknown, "the owner has changed", {}});
        return;
    }
    serve_here(*owner->second, std::move(request), done);
}

void fleet::serve_here(node& it, submission_request request, const reply_callback& done)
{
    job_service* jobs = it.instance->jobs();
    if (jobs == nullptr) {
        done({job_state::failed_not_run, "not ready", {}});
        return;
    }
    const std::string id = request.id;
    const auto accepted = jobs->submit(std::move(request));
    if (!accepted) {
        const bool not_run = accepted.error().code == errc::unavailable ||
                             accepted.error().code == errc::invalid_argument;
        done({not_run ? job_state::failed_not_run : job_state::unknown,
              accepted.error().message,
              {}});
        return;
    }
    jobs->wait(id, 10s, [done](const job_answer& answer) {
        done({answer.state, answer.reason, answer.answers});
    });
}

void fleet::edit(std::size_t number, std::string_view section, std::string author,
                 std::string content)
{
    if (!is_running(number) || nodes_.at(number)->paused) {
        return;
    }
    config_follower& follower = nodes_.at(number)->instance->configuration();
    config_edit it;
    it.id = fmt::format("edit-{}", ++edits_);
    it.author = std::move(author);
    it.section = section;
    it.base_version = follower.is_ready() ? follower.state_machine().version_of(section) : 0;
    it.content = std::move(content);
    follower.submit_edit(it, [](const result<edit_outcome>& /*outcome*/) {});
}

void fleet::check_versions()
{
    for (auto& [number, it] : nodes_) {
        const config_in_force& now = it->instance->configuration().in_force();
        if (now.version < it->newest_version) {
            violations_.push_back(fmt::format("{} went back from version {} to {}", it->name,
                                              it->newest_version, now.version));
        }
        it->newest_version = now.version;
    }
}

void fleet::run(duration span)
{
    constexpr duration step = 100ms;
    for (duration done{}; done < span; done += step) {
        timers_.advance(std::min(step, span - done));
        check_versions();
    }
}

account_statement fleet::statement(const std::string& customer)
{
    std::optional<account_statement> statement;
    read_account(log_, timers_, nullptr, customer,
                 [&](result<account_statement> it) { statement = std::move(it).value(); });
    while (!statement) {
        timers_.advance(10ms);
    }
    return *std::move(statement);
}

} // namespace cactusloom::system_test
