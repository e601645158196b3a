#pragma once

#include "base/time.h"
#include "config/deployment.h"

#include <optional>

namespace cactusloom {

// Decides whether a task that takes long is started a second time on another worker. Only kinds
// that opted in are hedged, and only while the messages stay within the budget of the profile.
class hedge_policy {
public:
    // Messages of a hedge: the start, its reply and the stop of the loser.
    static constexpr double messages_per_hedge = 3.0;

    // Messages of a retry: the start and its reply.
    static constexpr double messages_per_retry = 2.0;

    explicit hedge_policy(const dispatch_profile& profile);

    // Changes the budget and the quantile and keeps the tokens.
    void apply(const dispatch_profile& profile);

    // A task was started for the first time: two messages that every task needs.
    void record_first_start();

    // Messages beyond these two, whatever their reason.
    void record_extra_messages(double count);

    bool can_afford(double messages) const { return tokens_ >= messages; }

    // Delay after which a task may be hedged, or nothing if it must not be. `learned` is the
    // run-time quantile of the kind and `samples` the number of replies it stands on.
    std::optional<duration> delay(const request_kind& kind, duration learned,
                                  std::uint64_t samples) const;

    double quantile() const { return quantile_; }

private:
    double tokens_per_task_ = 0.0;
    double quantile_ = 1.0;
    double tokens_ = 0.0;
};

} // namespace cactusloom
