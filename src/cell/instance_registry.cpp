#include "cell/instance_registry.h"

#include "base/log.h"
#include "cell/mesh_codec.h"
#include "http/json_text.h"

namespace cactusloom {

namespace {

constexpr duration write_retry_delay = std::chrono::milliseconds{300};
constexpr duration refresh_interval = std::chrono::seconds{8};
// Three refreshes may be missed before an instance that does not answer is removed.
constexpr duration removal_delay = std::chrono::seconds{25};
// Instances also learn of each other when they link; this read only finds those without any link.
constexpr keyed_follower::poll_policy read_policy = {{}, std::chrono::milliseconds{1500}};

} // namespace

instance_registry::instance_registry(timer_service& timers, keyed_log& log, instance_mesh& mesh)
    : timers_(timers), log_(log), mesh_(mesh),
      follower_(timers, log, keyed_topic::instances, read_policy)
{
    follower_.on_record = [this](const keyed_record& record) {
        if (!record.value) {
            return;
        }
        const auto value = parse_json(*record.value);
        if (!value) {
            log_event("instance_entry_unreadable", "key={} reason=\"{}\"", record.key,
                      value.error().message);
            return;
        }
        mesh_.update_instances({decode_instance(value.value())});
        last_refresh_[record.key] = timers_.monotonic_now();
    };
    follower_.on_read = [this] {
        check();
        on_read();
    };
}

instance_registry::~instance_registry()
{
    *alive_ = false;
    timers_.cancel(write_timer_);
}

void instance_registry::start()
{
    write();
    follower_.start();
}

void instance_registry::write()
{
    log_.put(keyed_topic::instances, mesh_.self().name, write_json(encode_instance(mesh_.self())),
             [this, alive = alive_](bool ok) {
                 if (*alive) {
                     write_timer_ = timers_.schedule(ok ? refresh_interval : write_retry_delay,
                                                     [this] { write(); });
                 }
             });
}

void instance_registry::check()
{
    const auto now = timers_.monotonic_now();
    std::erase_if(last_refresh_, [&](const auto& it) {
        // No instance could refresh while the platform's store was unavailable.
        if (now - std::max(it.second, follower_.healthy_since()) <= removal_delay) {
            return false;
        }
        mesh_.remove_if_dead(it.first);
        return true;
    });
}

} // namespace cactusloom
