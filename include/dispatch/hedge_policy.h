#pragma once

#include "base/time.h"
#include "config/deployment.h"

#include <optional>

namespace cactusloom {

// Decides whether a slow task is hedged, that is, started a second time on another worker. Only
// kinds that opted in are hedged, and only within the message budget of the profile.
class hedge_policy {
public:
    // Messages of a hedge: the start, its reply and the stop of the slower attempt.
    static constexpr double messages_per_hedge = 3.0;

    // Messages of a retry: the start and its reply.
    static constexpr double messages_per_retry = 2.0;

    explicit hedge_policy(const dispatch_profile& profile);

    // Changes the budget and the quantile; tokens saved so far are kept.
    void apply(const dispatch_profile& profile);

    // Records the first start of a task. Its two messages, start and reply, are not charged.
    void record_first_start();

    // Charges all other messages: retries, hedges, stops and lease renewals.
    void record_extra_messages(double count);

    bool can_afford(double messages) const { return tokens_ >= messages; }

    // Delay after which a task may be hedged, or nothing if it must not be. `learned` is the
    // run-time quantile of the kind, computed from `samples` replies.
    std::optional<duration> delay(const request_kind& kind, duration learned,
                                  std::uint64_t samples) const;

    double quantile() const { return quantile_; }

private:
    double tokens_per_task_ = 0.0;
    double quantile_ = 1.0;
    double tokens_ = 0.0;
};

} // namespace cactusloom
