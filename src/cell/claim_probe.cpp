#include "cell/claim_probe.h"

#include "claim_token.h"

#include <utility>

namespace cactusloom {

namespace {

// A controller's long poll is answered after 250 ms at most, and it raises its token 200 ms after
// that.
constexpr duration fence_reaction_time = std::chrono::milliseconds{600};
// A token that was raised repeatedly before may be this many steps ahead.
constexpr int max_token_raises = 20;

} // namespace

claim_probe::claim_probe(timer_service& timers, worker_commands& commands,
                         std::vector<worker_report> workers, std::uint64_t token,
                         std::function<void(probe_result, std::uint64_t)> done)
    : timers_(timers), commands_(commands), workers_(std::move(workers)), token_(token),
      done_(std::move(done))
{
    poll(&claim_probe::on_first_replies);
}

claim_probe::~claim_probe()
{
    *alive_ = false;
}

void claim_probe::poll(void (claim_probe::*next)())
{
    pending_replies_ = workers_.size();
    fenced_ = 0;
    accepted_.clear();
    if (workers_.empty()) {
        finish(probe_result::no_reply);
        return;
    }
    poll_command command;
    command.token = token_;
    for (const auto& it : workers_) {
        commands_.poll(it, command, [this, it, next, alive = alive_](const poll_reply& reply) {
            if (!*alive) {
                return;
            }
            if (reply.status == command_status::accepted) {
                accepted_.push_back(it);
            }
            else if (reply.status == command_status::fenced) {
                ++fenced_;
            }
            if (--pending_replies_ == 0) {
                (this->*next)();
            }
        });
    }
}

void claim_probe::on_first_replies()
{
    if (!accepted_.empty()) {
        timers_.schedule(fence_reaction_time, [this, alive = alive_] {
            if (*alive) {
                workers_ = std::exchange(accepted_, {});
                poll(&claim_probe::on_second_replies);
            }
        });
    }
    else if (fenced_ != 0 && token_raises_++ < max_token_raises) {
        token_ += token_raise_step;
        poll(&claim_probe::on_first_replies);
    }
    else {
        finish(probe_result::no_reply);
    }
}

void claim_probe::on_second_replies()
{
    if (fenced_ != 0) {
        finish(probe_result::claimed_elsewhere);
    }
    else {
        finish(accepted_.empty() ? probe_result::no_reply : probe_result::unclaimed);
    }
}

// Deferred because `done` may destroy the probe.
void claim_probe::finish(probe_result result)
{
    timers_.schedule(duration::zero(), [this, result, alive = alive_] {
        if (*alive) {
            const auto fn = std::exchange(done_, nullptr);
            fn(result, token_);
        }
    });
}

} // namespace cactusloom
