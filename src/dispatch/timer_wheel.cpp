#include "dispatch/timer_wheel.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

namespace cactusloom {
namespace {

constexpr duration tick_length = std::chrono::milliseconds{1};

// Bounds the work of one iteration of the event loop when many timers are due together.
constexpr int max_timers_per_iteration = 512;

std::int64_t floor_tick(monotonic_time time)
{
    return time.time_since_epoch() / tick_length;
}

std::int64_t ceil_tick(monotonic_time time)
{
    return floor_tick(time + tick_length - duration{1});
}

} // namespace

timer_wheel::timer_wheel(timer_service& timers, std::function<void(std::uint64_t)> on_due)
    : timers_(timers), on_due_(std::move(on_due)), heads_(slot_count + 1, none),
      cursor_(floor_tick(timers.monotonic_now()))
{
}

timer_wheel::~timer_wheel()
{
    timers_.cancel(armed_);
}

timer_wheel::handle timer_wheel::add(monotonic_time due, std::uint64_t key)
{
    handle timer = free_;
    if (timer == none) {
        timer = static_cast<handle>(nodes_.size());
        nodes_.emplace_back();
    }
    else {
        free_ = nodes_[timer].next;
    }
    node& it = nodes_[timer];
    it.key = key;
    it.tick = std::max(ceil_tick(due), cursor_ + 1);
    link(timer, static_cast<std::uint32_t>(it.tick % slot_count));
    if (armed_ == 0 || it.tick < armed_tick_) {
        armed_tick_ = it.tick;
        arm();
    }
    return timer;
}

void timer_wheel::cancel(handle& timer)
{
    if (timer == none) {
        return;
    }
    unlink(timer);
    nodes_[timer].next = free_;
    free_ = timer;
    timer = none;
}

std::size_t timer_wheel::bytes() const
{
    return sizeof(*this) + heads_.capacity() * sizeof(handle) + nodes_.capacity() * sizeof(node);
}

void timer_wheel::link(handle timer, std::uint32_t slot)
{
    node& it = nodes_[timer];
    it.slot = slot;
    it.previous = none;
    it.next = heads_[slot];
    if (it.next != none) {
        nodes_[it.next].previous = timer;
    }
    heads_[slot] = timer;
    if (slot != due_slot) {
        used_[slot / 64] |= std::uint64_t{1} << (slot % 64);
    }
}

void timer_wheel::unlink(handle timer)
{
    const node& it = nodes_[timer];
    (it.previous == none ? heads_[it.slot] : nodes_[it.previous].next) = it.next;
    if (it.next != none) {
        nodes_[it.next].previous = it.previous;
    }
    if (heads_[it.slot] == none && it.slot != due_slot) {
        used_[it.slot / 64] &= ~(std::uint64_t{1} << (it.slot % 64));
    }
}

void timer_wheel::arm()
{
    timers_.cancel(armed_);
    const monotonic_time due{tick_length * armed_tick_};
    armed_ = timers_.schedule(due - timers_.monotonic_now(), [this] { run(); });
}

// Runs due timers, at most max_timers_per_iteration in one iteration of the event loop.
void timer_wheel::run()
{
    armed_ = 0;
    const std::int64_t now = floor_tick(timers_.monotonic_now());
    for (std::int64_t tick = next_tick(); tick <= now; tick = next_tick()) {
        cursor_ = tick;
        for (handle timer = heads_[tick % slot_count]; timer != none;) {
            const handle next = nodes_[timer].next;
            if (nodes_[timer].tick <= tick) {
                unlink(timer);
                link(timer, due_slot);
            }
            timer = next;
        }
    }
    cursor_ = std::max(cursor_, now);
    for (int n = 0; n < max_timers_per_iteration && heads_[due_slot] != none; ++n) {
        handle timer = heads_[due_slot];
        const std::uint64_t key = nodes_[timer].key;
        cancel(timer);
        on_due_(key);
    }
    const std::int64_t next = heads_[due_slot] != none ? cursor_ : next_tick();
    if (next != std::numeric_limits<std::int64_t>::max() && (armed_ == 0 || next < armed_tick_)) {
        armed_tick_ = next;
        arm();
    }
}

// Returns the next tick after the cursor whose slot holds timers, which may be due only in a later
// revolution of the wheel.
std::int64_t timer_wheel::next_tick() const
{
    const std::size_t start = static_cast<std::size_t>((cursor_ + 1) % slot_count);
    for (std::size_t n = 0; n <= used_.size(); ++n) {
        const std::size_t word = (start / 64 + n) % used_.size();
        std::uint64_t bits = used_[word];
        if (n == 0) {
            bits &= ~std::uint64_t{0} << (start % 64);
        }
        else if (n == used_.size()) {
            bits &= ~(~std::uint64_t{0} << (start % 64));
        }
        if (bits != 0) {
            const std::size_t slot = word * 64 + static_cast<std::size_t>(std::countr_zero(bits));
            const std::size_t ahead = (slot + slot_count - start) % slot_count;
            return cursor_ + 1 + static_cast<std::int64_t>(ahead);
        }
    }
    return std::numeric_limits<std::int64_t>::max();
}

} // namespace cactusloom
