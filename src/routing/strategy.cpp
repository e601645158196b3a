#include "strategy.h"

#include "base/random.h"
#include "placement_cost.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace cactusloom {
namespace {

// Workers considered per decision. With more workers a random subset is considered, which bounds
// the cost of a decision.
constexpr std::uint32_t max_candidates = 64;

// Room of a worker as if no other instance used it: one own task per slot.
float local_room(const placement_input& input, worker_id worker)
{
    const worker_table& table = *input.workers;
    return std::min(table.slots[worker], input.limits[worker]) - table.outstanding[worker];
}

bool has_local_room(const placement_input& input, worker_id worker)
{
    return input.is_allowed(worker) && local_room(input, worker) >= 1;
}

// Visits up to `count` distinct workers, starting at a random one. Stops when `fn` returns true.
template<typename Fn>
void visit(random_engine& random, std::uint32_t n, std::uint32_t count, const Fn& fn)
{
    std::uint32_t id = draw_below(random, n);
    for (std::uint32_t i = 0; i < count; ++i) {
        if (fn(id)) {
            return;
        }
        id = id + 1 < n ? id + 1 : 0;
    }
}

class random_strategy final : public strategy {
public:
    explicit random_strategy(std::uint32_t seed) : random_(seed) {}

    choice choose(const placement_input& input) override
    {
        const auto n = static_cast<std::uint32_t>(input.workers->size());
        for (int i = 0; i < 4; ++i) {
            const worker_id id = draw_below(random_, n);
            if (has_local_room(input, id)) {
                return {.worker = id};
            }
        }
        std::optional<worker_id> found;
        visit(random_, n, n, [&](worker_id id) {
            if (has_local_room(input, id)) {
                found = id;
            }
            return found.has_value();
        });
        return {.worker = found};
    }

    float room(const placement_input& input, worker_id worker) const override
    {
        return local_room(input, worker);
    }

private:
    random_engine random_;
};

class round_robin_strategy final : public strategy {
public:
    explicit round_robin_strategy(std::uint32_t seed) : next_(seed) {}

    choice choose(const placement_input& input) override
    {
        const auto n = static_cast<std::uint32_t>(input.workers->size());
        for (std::uint32_t i = 0; i < n; ++i) {
            next_ = next_ + 1 < n ? next_ + 1 : 0;
            if (has_local_room(input, next_)) {
                return {.worker = next_};
            }
        }
        return {};
    }

    float room(const placement_input& input, worker_id worker) const override
    {
        return local_room(input, worker);
    }

private:
    worker_id next_;
};

class fewest_outstanding_strategy final : public strategy {
public:
    explicit fewest_outstanding_strategy(std::uint32_t seed) : random_(seed) {}

    choice choose(const placement_input& input) override
    {
        const auto n = static_cast<std::uint32_t>(input.workers->size());
        std::optional<worker_id> best;
        float fewest = std::numeric_limits<float>::infinity();
        visit(random_, n, std::min(n, max_candidates), [&](worker_id id) {
            if (input.workers->outstanding[id] < fewest && has_local_room(input, id)) {
                fewest = input.workers->outstanding[id];
                best = id;
            }
            return fewest == 0;
        });
        return {.worker = best};
    }

    float room(const placement_input& input, worker_id worker) const override
    {
        return local_room(input, worker);
    }

private:
    random_engine random_;
};

// Power of two choices: of two random workers, the one with fewer own tasks.
class two_choices_strategy final : public strategy {
public:
    explicit two_choices_strategy(std::uint32_t seed) : random_(seed) {}

    choice choose(const placement_input& input) override
    {
        const auto n = static_cast<std::uint32_t>(input.workers->size());
        for (int i = 0; i < 4; ++i) {
            const worker_id a = draw_below(random_, n);
            const worker_id b = draw_below(random_, n);
            const bool has_a = has_local_room(input, a);
            const bool has_b = has_local_room(input, b);
            if (has_a || has_b) {
                const auto& outstanding = input.workers->outstanding;
                return {.worker = has_a && (!has_b || outstanding[a] <= outstanding[b]) ? a : b};
            }
        }
        // Most workers are full, so take any that is not.
        std::optional<worker_id> found;
        visit(random_, n, n, [&](worker_id id) {
            if (has_local_room(input, id)) {
                found = id;
            }
            return found.has_value();
        });
        return {.worker = found};
    }

    float room(const placement_input& input, worker_id worker) const override
    {
        return local_room(input, worker);
    }

private:
    random_engine random_;
};

// Takes the worker with the lowest estimated cost among `candidates` random workers.
class finish_strategy final : public strategy {
public:
    finish_strategy(std::uint32_t seed, std::uint32_t candidates)
        : random_(seed), candidates_(candidates)
    {
    }

    choice choose(const placement_input& input) override
    {
        const auto n = static_cast<std::uint32_t>(input.workers->size());
        const placement_cost estimate(input);
        std::optional<worker_id> best;
        float lowest_cost = std::numeric_limits<float>::infinity();
        std::array<full_worker, max_candidates> full{};
        std::size_t full_count = 0;
        const auto consider = [&](worker_id id) {
            if (!input.is_allowed(id)) {
                return false;
            }
            const float peer_load = estimate.peer_load(id);
            const float cost = estimate.base_cost(id);
            if (estimate.room(id, peer_load) < 1) {
                if (full_count < full.size()) {
                    full[full_count++] = {cost, estimate.completion_rate(id)};
                }
            }
            else if (cost + estimate.expected_wait(id, peer_load) < lowest_cost) {
                lowest_cost = cost + estimate.expected_wait(id, peer_load);
                best = id;
            }
            return false;
        };
        if (candidates_ < n) {
            for (std::uint32_t i = 0; i < candidates_; ++i) {
                consider(draw_below(random_, n));
            }
        }
        if (!best) {
            visit(random_, n, std::min(n, max_candidates), consider);
        }
        if (best && candidates_ > 2 && estimate.may_defer() &&
            is_worth_deferring({full.data(), full_count}, lowest_cost)) {
            return {.deferred = true};
        }
        return {.worker = best};
    }

    float room(const placement_input& input, worker_id worker) const override
    {
        return placement_cost(input).room(worker);
    }

private:
    // A worker without room whose next free slot may be worth waiting for.
    struct full_worker {
        float cost;
        float completion_rate;
    };

    // True if a slot on one of the full workers is expected to gain more than waiting for it costs.
    static bool is_worth_deferring(std::span<const full_worker> full, float lowest_cost)
    {
        // The sum of gain times rate is the expected gain over the expected wait.
        float gain = 0;
        for (const full_worker& it : full) {
            gain += std::max(lowest_cost - it.cost, 0.0F) * it.completion_rate;
        }
        return gain > defer_threshold;
    }

    random_engine random_;
    std::uint32_t candidates_;
};

template<typename T>
std::unique_ptr<strategy> make_strategy(std::uint32_t seed)
{
    return std::make_unique<T>(seed);
}

std::unique_ptr<strategy> make_two_choices_finish(std::uint32_t seed)
{
    return std::make_unique<finish_strategy>(seed, 2);
}

std::unique_ptr<strategy> make_predicted_finish(std::uint32_t seed)
{
    return std::make_unique<finish_strategy>(seed, max_candidates);
}

using factory = std::unique_ptr<strategy> (*)(std::uint32_t seed);

constexpr std::array<std::pair<std::string_view, factory>, 6> factories{{
    {"random", make_strategy<random_strategy>},
    {"round_robin", make_strategy<round_robin_strategy>},
    {"fewest_outstanding", make_strategy<fewest_outstanding_strategy>},
    {"two_choices", make_strategy<two_choices_strategy>},
    {"two_choices_finish", make_two_choices_finish},
    {"predicted_finish", make_predicted_finish},
}};

} // namespace

std::unique_ptr<strategy> strategy::make(std::string_view name, std::uint64_t seed)
{
    const auto it = std::find_if(factories.begin(), factories.end(),
                                 [name](const auto& entry) { return entry.first == name; });
    // taus88 needs seeds of at least 4096.
    return it == factories.end() ? nullptr : it->second(static_cast<std::uint32_t>(seed) | 4096U);
}

} // namespace cactusloom
