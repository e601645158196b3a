#include "callers.h"

namespace cactusloom::system_test {

using namespace std::chrono_literals;

void callers::submit_random(std::uint32_t max_count)
{
    for (std::uint32_t n = draw(max_count + 1); n > 0; --n) {
        const std::uint32_t tasks = draw(5) == 0 ? 20 : 1 + draw(3);
        submit(draw(instances), draw(2) == 0 ? "van_booking" : "stock_confirm", tasks);
    }
}

std::optional<std::size_t> callers::submit(std::size_t entry_index, std::string kind,
                                           std::uint32_t tasks)
{
    const auto prefix = fleet_.prefix_of(entry_index);
    if (!prefix) {
        return std::nullopt;
    }
    const std::size_t number = submissions_.size();
    submission it;
    it.id = fmt::format("{}.s{}", *prefix, number);
    it.customer = fmt::format("shop-{}", draw(2));
    it.kind = std::move(kind);
    it.sent = fleet_.timers().wall_now();
    for (std::uint32_t task = 0; task < tasks; ++task) {
        it.payloads.push_back(fmt::format("{}/{}", number, task));
    }
    submissions_.push_back(std::move(it));
    send(number, resubmits_ && draw(3) == 0 ? draw(instances) : entry_index);
    return number;
}

void callers::send(std::size_t number, std::size_t entry_index)
{
    const submission& it = submissions_[number];
    submission_request request;
    request.id = it.id;
    request.customer = it.customer;
    request.kind = it.kind;
    request.payloads = it.payloads;
    request.deadline = 3s;
    const bool reply_is_lost = resubmits_ && draw(10) == 0;
    fleet_.serve(entry_index, std::move(request),
                 [this, number, reply_is_lost](fleet::job_reply reply) {
                     if (!reply_is_lost) {
                         submissions_[number].has_reply = true;
                         submissions_[number].replies.push_back(std::move(reply));
                     }
                 });
    if (!resubmits_) {
        return;
    }
    // Some callers resubmit while the first attempt is still running.
    const duration timeout = draw(4) == 0 ? duration{50ms} : duration{4s};
    fleet_.timers().schedule(timeout, [this, number] {
        submission& self = submissions_[number];
        if (!self.has_reply && self.resubmissions < 3) {
            ++self.resubmissions;
            send(number, draw(instances));
        }
    });
}

std::size_t callers::count_replies(job_state state) const
{
    std::size_t n = 0;
    for (const submission& it : submissions_) {
        for (const fleet::job_reply& reply : it.replies) {
            n += reply.state == state ? 1 : 0;
        }
    }
    return n;
}

int callers::starts_of(const std::string& payload) const
{
    const auto& starts = fleet_.workers().starts();
    const auto it = starts.find(payload);
    return it == starts.end() ? 0 : it->second;
}

std::vector<std::string> callers::check()
{
    violations_ = fleet_.violations();
    check_starts();
    for (const submission& it : submissions_) {
        for (const fleet::job_reply& reply : it.replies) {
            check_answer(it, reply);
        }
    }
    check_accounts();
    return violations_;
}

void callers::check_starts()
{
    for (const auto& [payload, n] : fleet_.workers().starts()) {
        if (n > 1) {
            violations_.push_back(fmt::format("task {} started {} times", payload, n));
        }
    }
}

void callers::check_answer(const submission& it, const fleet::job_reply& reply)
{
    if (reply.state == job_state::completed) {
        bool whole = reply.answers.size() == it.payloads.size();
        for (std::size_t n = 0; whole && n < it.payloads.size(); ++n) {
            whole = reply.answers[n] == "ok:" + it.payloads[n];
        }
        if (!whole) {
            violations_.push_back("partial or wrong answer for " + it.id);
        }
    }
    else if (!reply.answers.empty()) {
        violations_.push_back("answers with a failed job for " + it.id);
    }
    if (reply.state == job_state::failed_not_run) {
        for (const std::string& payload : it.payloads) {
            if (starts_of(payload) > 0) {
                violations_.push_back(fmt::format("{} was reported as not run ({}) but task {} ran",
                                                  it.id, reply.reason, payload));
            }
        }
    }
}

void callers::check_accounts()
{
    for (const std::string customer : {"shop-0", "shop-1"}) {
        const account_statement statement = fleet_.statement(customer);
        record_map records;
        for (const account_record& record : statement.records) {
            if (record.receipt.customer != customer) {
                violations_.push_back("a record of another customer in the account of " + customer);
            }
            records[record.receipt.submission_id] = &record;
        }
        if (!statement.duplicate_starts.empty() || !statement.duplicate_answers.empty()) {
            violations_.push_back("the account of " + customer +
                                  " shows a duplicate start or answer");
        }
        for (const submission& it : submissions_) {
            if (it.customer == customer) {
                check_account(it, records, statement);
            }
        }
    }
}

void callers::check_account(const submission& it, const record_map& records,
                            const account_statement& statement)
{
    int starts = 0;
    for (const std::string& payload : it.payloads) {
        starts += starts_of(payload);
    }
    const auto found = records.find(it.id);
    if (found == records.end()) {
        if (starts > 0 && statement.is_complete() && it.sent < statement.complete_until) {
            violations_.push_back(it.id + " ran but a complete account does not show it");
        }
        return;
    }
    const account_record& record = *found->second;
    if (record.outcome == account_outcome::completed &&
        record.starts() != static_cast<std::uint64_t>(starts)) {
        violations_.push_back(fmt::format("the account shows {} starts of {}, the workers saw {}",
                                          record.starts(), it.id, starts));
    }
    if (record.outcome == account_outcome::failed_not_run && starts > 0) {
        violations_.push_back("the account says not run of " + it.id + ", which ran");
    }
}

} // namespace cactusloom::system_test
