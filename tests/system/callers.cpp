#include "callers.h"

namespace cactusloom::system_test {

using namespace std::chrono_literals;

void callers::submit_some(std::uint32_t most)
{
    for (std::uint32_t n = draw(most + 1); n > 0; --n) {
        const std::uint32_t tasks = draw(5) == 0 ? 20 : 1 + draw(3);
        submit(draw(instances), draw(2) == 0 ? "van_booking" : "stock_confirm", tasks);
    }
}

std::optional<std::size_t> callers::submit(std::size_t door, std::string kind, std::uint32_t tasks)
{
    const auto prefix = fleet_.prefix_of(door);
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
    send(number, impatient_ && draw(3) == 0 ? draw(instances) : door);
    return number;
}

void callers::send(std::size_t number, std::size_t door)
{
    const submission& it = submissions_[number];
    job_request request;
    request.id = it.id;
    request.customer = it.customer;
    request.kind = it.kind;
    request.payloads = it.payloads;
    request.deadline = 3s;
    const bool reply_is_lost = impatient_ && draw(10) == 0;
    fleet_.serve(door, std::move(request), [this, number, reply_is_lost](fleet::outcome told) {
        if (!reply_is_lost) {
            submissions_[number].is_settled = true;
            submissions_[number].told.push_back(std::move(told));
        }
    });
    if (!impatient_) {
        return;
    }
    // Some callers resubmit while the first attempt is still running.
    const duration patience = draw(4) == 0 ? duration{50ms} : duration{4s};
    fleet_.timers().schedule(patience, [this, number] {
        submission& self = submissions_[number];
        if (!self.is_settled && self.resubmissions < 3) {
            ++self.resubmissions;
            send(number, draw(instances));
        }
    });
}

std::size_t callers::count_told(job_state state) const
{
    std::size_t n = 0;
    for (const submission& it : submissions_) {
        for (const fleet::outcome& told : it.told) {
            n += told.state == state ? 1 : 0;
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
    faults_ = fleet_.faults();
    check_starts();
    for (const submission& it : submissions_) {
        for (const fleet::outcome& told : it.told) {
            check_answer(it, told);
        }
    }
    check_accounts();
    return faults_;
}

void callers::check_starts()
{
    for (const auto& [payload, n] : fleet_.workers().starts()) {
        if (n > 1) {
            faults_.push_back(fmt::format("task {} started {} times", payload, n));
        }
    }
}

void callers::check_answer(const submission& it, const fleet::outcome& told)
{
    if (told.state == job_state::completed) {
        bool whole = told.answers.size() == it.payloads.size();
        for (std::size_t n = 0; whole && n < it.payloads.size(); ++n) {
            whole = told.answers[n] == "ok:" + it.payloads[n];
        }
        if (!whole) {
            faults_.push_back("partial or wrong answer for " + it.id);
        }
    }
    else if (!told.answers.empty()) {
        faults_.push_back("answers with a failed job for " + it.id);
    }
    if (told.state == job_state::failed_not_run) {
        for (const std::string& payload : it.payloads) {
            if (starts_of(payload) > 0) {
                faults_.push_back(fmt::format("{} was told not run ({}) but task {} ran", it.id,
                                              told.reason, payload));
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
                faults_.push_back("a record of another customer in the account of " + customer);
            }
            records[record.receipt.submission_id] = &record;
        }
        if (!statement.duplicate_starts.empty() || !statement.duplicate_answers.empty()) {
            faults_.push_back("the account of " + customer + " shows a doubled start or answer");
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
            faults_.push_back(it.id + " ran but a complete account does not show it");
        }
        return;
    }
    const account_record& record = *found->second;
    if (record.outcome == account_outcome::completed &&
        record.starts() != static_cast<std::uint64_t>(starts)) {
        faults_.push_back(fmt::format("the account shows {} starts of {}, the workers saw {}",
                                      record.starts(), it.id, starts));
    }
    if (record.outcome == account_outcome::failed_not_run && starts > 0) {
        faults_.push_back("the account says not run of " + it.id + ", which ran");
    }
}

} // namespace cactusloom::system_test
