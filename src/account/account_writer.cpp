#include "account/account_writer.h"

#include "base/hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cactusloom {
namespace {

std::size_t receipt_memory(const account_receipt& it)
{
    // The id is stored twice, as key and in the receipt.
    constexpr std::size_t overhead = 256;
    return overhead + 2 * it.submission_id.size() + it.customer.size() + it.kind.size();
}

} // namespace

account_writer::account_writer(log_service& log, timer_service& timers,
                               account_writer_settings settings)
    : log_(log), timers_(timers), settings_(std::move(settings)),
      alive_(std::make_shared<account_writer*>(this))
{
    assert(settings_.appends_per_second > 0);
}

account_writer::~account_writer()
{
    timers_.cancel(timer_);
    timers_.cancel(close_timer_);
    timers_.cancel(append_timer_);
}

void account_writer::start()
{
    // A phase derived from the name spreads the appends of instances that start together.
    const auto phase = duration{static_cast<duration::rep>(
        hash64(settings_.instance) % static_cast<std::uint64_t>(interval().count()))};
    schedule(phase);
}

void account_writer::set_instances(std::size_t n)
{
    instances_ = std::max<std::size_t>(n, 1);
}

duration account_writer::interval() const
{
    const auto share = std::chrono::duration_cast<duration>(std::chrono::seconds{1}) * instances_ /
                       settings_.appends_per_second;
    return std::max<duration>(share, settings_.min_interval);
}

void account_writer::received(account_receipt receipt)
{
    if (closing_) {
        return;
    }
    const auto bytes = receipt_memory(receipt);
    if (buffered_bytes_ + bytes > settings_.max_buffer_bytes ||
        open_.contains(receipt.submission_id)) {
        // Without a receipt the request still gets its record at the end; if the instance dies
        // before, readers see a writer without a closing batch.
        return;
    }
    buffered_bytes_ += bytes;
    auto id = receipt.submission_id;
    const auto it = open_.emplace(std::move(id),
                                  open_request{std::move(receipt), bytes, timers_.monotonic_now(),
                                               unwritten_receipts_.end()});
    auto& request = it.first->second;
    request.queue_position = unwritten_receipts_.insert(unwritten_receipts_.end(), &request);
}

void account_writer::ended(account_record record)
{
    if (closed_) {
        return;
    }
    if (const auto it = open_.find(record.receipt.submission_id); it != open_.end()) {
        buffered_bytes_ -= it->second.bytes;
        if (it->second.queue_position != unwritten_receipts_.end()) {
            unwritten_receipts_.erase(it->second.queue_position);
        }
        open_.erase(it);
    }
    const auto bytes = record.memory_size();
    if (buffered_bytes_ + bytes > settings_.max_buffer_bytes) {
        // The newest record is dropped, not the oldest, so that the kept ones have no gap.
        dropped_.add(record.receipt.received, timers_.wall_now());
        ++stats_.dropped;
        return;
    }
    buffered_bytes_ += bytes;
    ends_.push_back(std::move(record));
}

void account_writer::close(duration limit, done_callback done)
{
    assert(!closing_);
    closing_ = true;
    close_done_ = std::move(done);
    close_timer_ = timers_.schedule(limit, [this] {
        finish_close(failure(errc::timed_out, "account records were not all written"));
    });
    if (!awaiting_reply_) {
        schedule(duration::zero());
    }
}

void account_writer::schedule(duration delay)
{
    timers_.cancel(timer_);
    timer_ = timers_.schedule(delay, [this] { flush(); });
}

bool account_writer::has_work() const
{
    return !ends_.empty() || has_due_receipt() || dropped_.count > 0;
}

bool account_writer::has_due_receipt() const
{
    return !unwritten_receipts_.empty() &&
           (closing_ ||
            timers_.monotonic_now() - unwritten_receipts_.front()->since >= settings_.receipt_age);
}

void account_writer::flush()
{
    if (awaiting_reply_ || closed_) {
        return;
    }
    if (!in_flight_) {
        const bool is_heartbeat_due =
            !has_stored_ || timers_.monotonic_now() - last_stored_ >= settings_.idle_interval;
        if (!has_work() && !is_heartbeat_due && !closing_) {
            schedule(interval());
            return;
        }
        in_flight_ = std::make_unique<sent_batch>(make_batch());
    }
    send();
}

account_writer::sent_batch account_writer::make_batch()
{
    sent_batch out;
    account_batch header;
    header.instance = settings_.instance;
    header.incarnation = settings_.incarnation;
    header.number = next_number_++;
    header.written = timers_.wall_now();
    out.first = header.written;
    out.last = header.written;
    if (dropped_.count > 0) {
        header.dropped = dropped_;
        out.dropped = std::exchange(dropped_, {});
    }
    account_batch_encoder encoder(header);
    const auto has_room = [&] { return encoder.size() < settings_.max_batch_bytes; };
    while (!ends_.empty() && has_room()) {
        const auto& it = ends_.front();
        encoder.add(it);
        out.first = std::min(out.first, it.receipt.received);
        out.bytes += it.memory_size();
        ++out.ends;
        ends_.pop_front();
    }
    while (has_due_receipt() && has_room()) {
        const auto& receipt = unwritten_receipts_.front()->receipt;
        encoder.add(receipt);
        ++out.receipts;
        open_.find(receipt.submission_id)->second.queue_position = unwritten_receipts_.end();
        unwritten_receipts_.pop_front();
    }
    header.watermark = header.written;
    for (const auto& it : ends_) {
        header.watermark = std::min(header.watermark, it.receipt.received);
    }
    if (!unwritten_receipts_.empty()) {
        header.watermark =
            std::min(header.watermark, unwritten_receipts_.front()->receipt.received);
    }
    out.is_last = closing_ && ends_.empty() && unwritten_receipts_.empty();
    header.is_last = out.is_last;
    out.content = std::move(encoder).finish();
    return out;
}

void account_writer::send()
{
    awaiting_reply_ = true;
    const std::uint64_t attempt = ++stats_.appends;
    append_timer_ = timers_.schedule(settings_.append_timeout, [this, attempt] {
        finish_attempt(attempt, failure(errc::reply_lost, "no reply to the append"));
    });
    log_.append(account_stream, in_flight_->content,
                [weak = std::weak_ptr(alive_), attempt](const result<log_offset>& stored) {
                    if (const auto alive = weak.lock()) {
                        (*alive)->finish_attempt(attempt, stored);
                    }
                });
}

void account_writer::finish_attempt(std::uint64_t attempt, const result<log_offset>& stored)
{
    // A reply after the timeout is ignored, since the batch is retried under the same number.
    if (awaiting_reply_ && attempt == stats_.appends) {
        timers_.cancel(append_timer_);
        finish(stored);
    }
}

void account_writer::finish(const result<log_offset>& stored)
{
    awaiting_reply_ = false;
    if (closed_) {
        return;
    }
    if (!stored) {
        const auto code = stored.error().code;
        if (code == errc::invalid_argument || code == errc::limit_exceeded) {
            drop_batch();
        }
        else {
            // The batch may have been stored. It is retried with the same number and content, and
            // readers drop the duplicate.
            ++failures_;
        }
        schedule(backoff());
        return;
    }
    failures_ = 0;
    has_stored_ = true;
    last_stored_ = timers_.monotonic_now();
    ++stats_.batches;
    stats_.bytes += in_flight_->content.size();
    stats_.ends += in_flight_->ends;
    stats_.receipts += in_flight_->receipts;
    buffered_bytes_ -= in_flight_->bytes;
    const bool was_last = in_flight_->is_last;
    in_flight_.reset();
    if (was_last) {
        finish_close(boost::outcome_v2::success());
        return;
    }
    schedule(closing_ ? duration::zero() : interval());
}

// A batch that the log rejects for its content would block all later ones, so its number stays
// unused and its records are reported as dropped.
void account_writer::drop_batch()
{
    const auto count = in_flight_->ends + in_flight_->receipts;
    for (std::size_t i = 0; i < count; ++i) {
        dropped_.add(in_flight_->first, in_flight_->last);
    }
    if (in_flight_->dropped.count > 0) {
        const auto& gap = in_flight_->dropped;
        dropped_.add(gap.from, gap.until);
        dropped_.count += gap.count - 1;
    }
    stats_.dropped += count;
    ++stats_.refused_batches;
    buffered_bytes_ -= in_flight_->bytes;
    in_flight_.reset();
}

void account_writer::finish_close(result<void> outcome)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    timers_.cancel(timer_);
    timers_.cancel(close_timer_);
    if (close_done_) {
        std::exchange(close_done_, nullptr)(std::move(outcome));
    }
}

// Exponential backoff that starts at the batch interval, so that retries while the log is down stay
// within the append budget.
duration account_writer::backoff() const
{
    const auto doublings = std::min(failures_, 6U);
    return std::max(interval(),
                    std::min<duration>(interval() * (1U << doublings) / 2, settings_.max_backoff));
}

} // namespace cactusloom
