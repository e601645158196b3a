#pragma once

#include "base/timer_service.h"
#include "cell/worker_commands.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cactusloom {

// Detects whether an unreachable controller holds workers, at the cost of a few of them: makes
// these accept a new token, and polls them again after the time within which a live controller
// raises its own. No task is started or stopped.
class claim_probe {
public:
    enum class probe_result {
        unclaimed, // the workers still accept the token of the probe, so they can be claimed
        claimed_elsewhere, // they have accepted a higher token in the meantime
        no_reply,
    };

    // `done` runs once, later on the event loop, with the token that the workers were last probed
    // with.
    claim_probe(timer_service& timers, worker_commands& commands,
                std::vector<worker_report> workers, std::uint64_t token,
                std::function<void(probe_result result, std::uint64_t token)> done);
    ~claim_probe();
    claim_probe(const claim_probe&) = delete;
    claim_probe& operator=(const claim_probe&) = delete;

private:
    void poll(void (claim_probe::*next)());
    void on_first_replies();
    void on_second_replies();
    void finish(probe_result result);

    timer_service& timers_;
    worker_commands& commands_;
    std::vector<worker_report> workers_;
    std::uint64_t token_;
    std::function<void(probe_result, std::uint64_t)> done_;
    std::size_t pending_replies_ = 0;
    std::size_t fenced_ = 0;
    std::vector<worker_report> accepted_;
    int token_raises_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
