#include "account/account_statement.h"

#include <algorithm>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <iterator>

namespace cactusloom {
namespace {

// Writers append at least once a minute. Three times that without a batch means that the instance
// ended, or that the log was down; the records in question are absent in both cases.
constexpr auto writer_silence = std::chrono::minutes{3};

// No request lasts longer than the largest deadline, 60 s; the rest allows for writing its end.
constexpr auto longest_request = std::chrono::minutes{2};

std::string format_time(wall_time time)
{
    if (time == wall_time{}) {
        return "the beginning";
    }
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time - seconds).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), ms);
}

void add_unique(std::vector<std::string>& to, const std::string& id)
{
    if (std::find(to.begin(), to.end(), id) == to.end()) {
        to.push_back(id);
    }
}

} // namespace

const char* to_string(account_gap::cause why)
{
    switch (why) {
    case account_gap::cause::dropped_by_writer:
        return "dropped_by_writer";
    case account_gap::cause::batch_missing:
        return "batch_missing";
    case account_gap::cause::unreadable_batch:
        return "unreadable_batch";
    case account_gap::cause::not_retained:
        return "not_retained";
    case account_gap::cause::writer_ended:
        return "writer_ended";
    case account_gap::cause::log_not_read:
        return "log_not_read";
    case account_gap::cause::log_regressed:
        return "log_regressed";
    }
    return "not_retained";
}

bool account_statement::is_complete() const
{
    return gaps.empty() && std::none_of(records.begin(), records.end(), [](const auto& it) {
               return it.outcome == account_outcome::open;
           });
}

std::string to_text(const account_statement& statement)
{
    std::string text;
    const auto line = [&]<typename... Args>(fmt::format_string<Args...> format, Args&&... args) {
        fmt::format_to(std::back_inserter(text), format, std::forward<Args>(args)...);
        text += '\n';
    };
    line("customer: {}", statement.customer);
    line("complete: {}", statement.is_complete() ? "yes" : "no, requests or ends may be missing");
    line("span: {} to {}", format_time(statement.from), format_time(statement.until));
    line("settled until: {}", format_time(statement.complete_until));
    line("requests: {}", statement.records.size());
    for (const auto& [key, n] : statement.totals) {
        line("total: {} {} {}", key.first, to_string(key.second), n);
    }
    for (const auto& it : statement.gaps) {
        line("gap: {} {} from {} to {} count {}", to_string(it.why), it.where, format_time(it.from),
             format_time(it.until), it.count == 0 ? "not known" : std::to_string(it.count));
    }
    for (const auto& it : statement.unknowns) {
        line("unknown: {} {} received {}: {}", it.receipt.submission_id, it.receipt.kind,
             format_time(it.receipt.received), it.why);
    }
    for (const auto& id : statement.duplicate_answers) {
        line("doubled answer: {}", id);
    }
    for (const auto& id : statement.duplicate_starts) {
        line("doubled start: {}", id);
    }
    return text;
}

account_statement_builder::account_statement_builder(std::string customer)
{
    statement_.customer = std::move(customer);
}

void account_statement_builder::add(const log_record& record)
{
    if (record.offset < next_offset_) {
        return;
    }
    if (record.offset > next_offset_) {
        ++log_gaps_;
        statement_.gaps.push_back(
            {account_gap::cause::not_retained, last_time_, record.time,
             record.offset - next_offset_,
             fmt::format("offsets {} to {}", next_offset_, record.offset - 1)});
    }
    next_offset_ = record.offset + 1;
    const auto previous_time = std::exchange(last_time_, record.time);

    const auto decoded = decode_batch(record.content);
    if (!decoded) {
        statement_.gaps.push_back({account_gap::cause::unreadable_batch, previous_time, record.time,
                                   1, fmt::format("offset {}", record.offset)});
        return;
    }
    const auto& batch = decoded.value();
    const writer_key key{batch.instance, batch.incarnation};
    const bool is_new = !writers_.contains(key);
    auto& it = writers_[key];
    if (is_new) {
        it.first_written = batch.written;
        it.last_written = batch.written;
        it.watermark = batch.watermark;
    }
    if (!accept_number(it, batch)) {
        return;
    }
    it.is_closed = it.is_closed || batch.is_last;
    if (!has_batch_) {
        statement_.from = batch.written;
        has_batch_ = true;
    }
    statement_.until = std::max(statement_.until, batch.written);
    if (batch.dropped) {
        statement_.gaps.push_back({account_gap::cause::dropped_by_writer, batch.dropped->from,
                                   batch.dropped->until, batch.dropped->count, batch.instance});
    }
    for (const auto& receipt : batch.receipts) {
        add_receipt(receipt, key);
    }
    for (const auto& end : batch.ends) {
        add_end(end, key);
    }
}

// Returns false for a duplicate batch. Skipped numbers are recorded as missing until a late copy
// arrives.
bool account_statement_builder::accept_number(writer& it, const account_batch& batch)
{
    if (batch.number < it.next_number) {
        const auto found = std::find_if(it.missing.begin(), it.missing.end(), [&](const auto& gap) {
            return gap.first <= batch.number && batch.number <= gap.last;
        });
        if (found == it.missing.end()) {
            return false;
        }
        auto after = *found;
        after.first = batch.number + 1;
        found->last = batch.number - 1;
        if (after.first <= after.last) {
            it.missing.push_back(after);
        }
        std::erase_if(it.missing, [](const auto& gap) { return gap.first > gap.last; });
        return true;
    }
    // Numbers lost in a gap of the log are reported with that gap.
    if (batch.number > it.next_number && it.log_gaps_seen == log_gaps_) {
        it.missing.push_back({it.next_number, batch.number - 1, it.last_written, batch.written});
    }
    it.log_gaps_seen = log_gaps_;
    it.next_number = batch.number + 1;
    it.last_written = batch.written;
    it.watermark = batch.watermark;
    return true;
}

void account_statement_builder::add_receipt(const account_receipt& it, const writer_key& owner)
{
    if (it.customer != statement_.customer) {
        return;
    }
    const auto [found, is_new] = requests_.emplace(it.submission_id, request{});
    if (is_new) {
        found->second.record.receipt = it;
        found->second.owner = owner;
    }
    else if (found->second.owner != owner) {
        add_unique(statement_.duplicate_starts, it.submission_id);
    }
}

void account_statement_builder::add_end(const account_record& it, const writer_key& owner)
{
    if (it.receipt.customer != statement_.customer) {
        return;
    }
    const auto [found, is_new] = requests_.emplace(it.receipt.submission_id, request{{}, owner});
    auto& known = found->second;
    if (!is_new && known.owner != owner) {
        add_unique(statement_.duplicate_starts, it.receipt.submission_id);
    }
    if (it.has_duplicate_start()) {
        add_unique(statement_.duplicate_starts, it.receipt.submission_id);
    }
    if (!is_new && known.record.outcome != account_outcome::open) {
        add_unique(statement_.duplicate_answers, it.receipt.submission_id);
        repeated_ends_.push_back(it);
        return;
    }
    known.record = it;
}

void account_statement_builder::note_log_end(log_offset end, wall_time now)
{
    if (end > next_offset_) {
        ++log_gaps_;
        statement_.gaps.push_back({account_gap::cause::not_retained, last_time_, now,
                                   end - next_offset_,
                                   fmt::format("offsets {} to {}", next_offset_, end - 1)});
        next_offset_ = end;
    }
    else if (end < next_offset_) {
        statement_.gaps.push_back(
            {account_gap::cause::log_regressed, last_time_, now, next_offset_ - end,
             fmt::format("log ends at {}, archive at {}", end, next_offset_)});
    }
}

void account_statement_builder::note_log_not_read(std::string why, wall_time now)
{
    statement_.gaps.push_back(
        {account_gap::cause::log_not_read, last_time_, now, 0, std::move(why)});
}

bool account_statement_builder::has_ended(const writer_key& key, const writer& it,
                                          wall_time now) const
{
    const auto next = std::next(writers_.find(key));
    const bool is_replaced = next != writers_.end() && next->first.first == key.first;
    return is_replaced || now - it.last_written > writer_silence;
}

std::string account_statement_builder::describe_open(const request& it, wall_time now) const
{
    const auto& writer = writers_.at(it.owner);
    if (writer.is_closed) {
        return "the instance shut down before it recorded the end";
    }
    if (has_ended(it.owner, writer, now)) {
        return "the instance ended before it recorded the end";
    }
    if (writer.last_written - it.record.receipt.received > longest_request) {
        return "no end recorded although the instance went on";
    }
    return "still running, or its end is not written yet";
}

account_statement account_statement_builder::finish(wall_time now) &&
{
    auto& out = statement_;
    out.complete_until = out.until;
    for (const auto& [key, it] : writers_) {
        if (!it.is_closed && !has_ended(key, it, now)) {
            out.complete_until = std::min(out.complete_until, it.watermark);
        }
        for (const auto& gap : it.missing) {
            out.gaps.push_back(
                {account_gap::cause::batch_missing, gap.from, gap.until, gap.last - gap.first + 1,
                 fmt::format("{} batches {} to {}", key.first, gap.first, gap.last)});
        }
        // The closing batch may lie in a gap of the log, which is reported already.
        if (!it.is_closed && it.log_gaps_seen == log_gaps_ && has_ended(key, it, now)) {
            const auto next = std::next(writers_.find(key));
            const bool is_replaced = next != writers_.end() && next->first.first == key.first;
            out.gaps.push_back({account_gap::cause::writer_ended, it.watermark,
                                is_replaced ? next->second.first_written : now, 0, key.first});
        }
    }
    for (auto& [id, it] : requests_) {
        if (it.record.outcome == account_outcome::open) {
            out.unknowns.push_back({it.record.receipt, describe_open(it, now)});
        }
        else if (it.record.outcome == account_outcome::unknown) {
            out.unknowns.push_back({it.record.receipt, it.record.reason});
        }
        out.records.push_back(std::move(it.record));
    }
    out.records.insert(out.records.end(), repeated_ends_.begin(), repeated_ends_.end());
    std::stable_sort(out.records.begin(), out.records.end(), [](const auto& a, const auto& b) {
        return a.receipt.received < b.receipt.received;
    });
    std::stable_sort(out.gaps.begin(), out.gaps.end(),
                     [](const auto& a, const auto& b) { return a.from < b.from; });
    for (const auto& it : out.records) {
        ++out.totals[{it.receipt.kind, it.outcome}];
    }
    return std::move(statement_);
}

} // namespace cactusloom
