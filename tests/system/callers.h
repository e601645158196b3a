#pragma once

#include "fleet.h"

namespace cactusloom::system_test {

inline constexpr std::size_t instances = 6;

// A submission and all replies to it.
struct submission {
    std::string id;
    std::string customer;
    std::string kind;
    wall_time sent; // for the first time
    std::vector<std::string> payloads;
    std::size_t resubmissions = 0;
    bool has_reply = false;
    std::vector<fleet::job_reply> replies;
};

// Callers that submit through random instances and resubmit after a timeout, and the checks of the
// invariants that must hold under any fault of the instances.
class callers {
public:
    callers(fleet& entry, std::uint32_t seed) : fleet_(entry), random_(seed * 7919 + 4096) {}

    // Sends up to `max_count` new submissions, each with a prefix from the instance that receives
    // it.
    void submit_random(std::uint32_t max_count);

    // Sends one submission through instance `entry_index`; returns its number, or nothing if that
    // instance issues no prefix.
    std::optional<std::size_t> submit(std::size_t entry_index, std::string kind,
                                      std::uint32_t tasks);

    // Sends a submission again, with the same id.
    void resubmit(std::size_t number, std::size_t entry_index) { send(number, entry_index); }

    // When off, each submission is sent once and no reply is lost.
    void set_resubmission(bool resubmits) { resubmits_ = resubmits; }

    const submission& operator[](std::size_t number) const { return submissions_[number]; }
    std::size_t size() const { return submissions_.size(); }
    std::size_t count_replies(job_state state) const;
    int starts_of(const std::string& payload) const;

    // Returns every invariant violation: a task that started twice, an answer that is partial or
    // not the caller's own, a false "not run", a configuration that went back to an older version,
    // an account that differs from the starts on the workers.
    std::vector<std::string> check();

    std::uint32_t draw(std::uint32_t bound) { return draw_below(random_, bound); }

private:
    using record_map = std::map<std::string, const account_record*>;

    void send(std::size_t number, std::size_t entry_index);
    void check_starts();
    void check_answer(const submission& it, const fleet::job_reply& reply);
    void check_accounts();
    void check_account(const submission& it, const record_map& records,
                       const account_statement& statement);

    fleet& fleet_;
    random_engine random_;
    bool resubmits_ = true;
    std::vector<submission> submissions_;
    std::vector<std::string> violations_;
};

} // namespace cactusloom::system_test
