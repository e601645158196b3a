#pragma once

#include "base/timer_service.h"
#include "cell/worker_commands.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cactusloom {

// Finds out whether somebody out of touch controls workers, at the price of a few of them: it makes
// these obey a new token and looks again after the time in which a controller that is alive has
// raised its own. Nothing is started or stopped.
class claim_probe {
public:
    enum class probe_result {
        unclaimed,         // the workers still obey the probe: they are free to be claimed
        claimed_elsewhere, // they obey a higher token by now
        no_reply,
    };

    // `done` runs once, later on the loop, with a token that the workers of the probe obeyed.
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
