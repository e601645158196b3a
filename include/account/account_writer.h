#pragma once

#include "account/account_record.h"
#include "account/account_record_codec.h"
#include "base/result.h"
#include "base/timer_service.h"
#include "platform/log_service.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusloom {

struct account_writer_settings {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint32_t appends_per_second = 100; // budget of all instances together
    duration min_interval = std::chrono::milliseconds{250};
    // An idle instance appends an empty batch this often, which shows readers that it is alive.
    duration idle_interval = std::chrono::seconds{60};
    // A receipt is written for a request that is open for this long. Most tasks end within a second
    // and then cost one record instead of two.
    duration receipt_age = std::chrono::seconds{1};
    // A log behind a broken link never replies; without a limit the writer would wait forever.
    duration append_timeout = std::chrono::seconds{5};
    duration max_backoff = std::chrono::seconds{10};
    std::size_t max_batch_bytes = std::size_t{256} << 10U;
    std::size_t max_buffer_bytes = std::size_t{8} << 20U;
};

struct account_writer_stats {
    std::uint64_t batches = 0;  // stored
    std::uint64_t appends = 0;  // sent, repeats included
    std::uint64_t bytes = 0;    // of stored batches
    std::uint64_t receipts = 0; // written for requests that were open for receipt_age
    std::uint64_t ends = 0;
    std::uint64_t dropped = 0;
    std::uint64_t refused_batches = 0; // rejected by the log for their content or size
};

// Writes the account records of one instance to the log in batches. Requests never wait for it.
class account_writer {
public:
    using done_callback = std::function<void(result<void>)>;

    // The log and the timer service must outlive the writer.
    account_writer(log_service& log, timer_service& timers, account_writer_settings settings);
    ~account_writer();
    account_writer(const account_writer&) = delete;
    account_writer& operator=(const account_writer&) = delete;

    // Starts writing. The first batch, empty or not, announces the incarnation to readers.
    void start();

    // Sets the number of live instances, which determines the batch interval.
    void set_instances(std::size_t n);
    duration interval() const;

    // Records the receipt of a request. A repeated submission id is recorded once.
    void received(account_receipt receipt);

    // Records the end of a request, whether or not its receipt was recorded.
    void ended(account_record record);

    // Writes all buffered records and a closing batch, then calls `done`; with `timed_out` if that
    // is not finished within `limit`. Receipts are ignored from then on, ends once it is closed.
    void close(duration limit, done_callback done);

    std::size_t buffered_bytes() const { return buffered_bytes_; }
    const account_writer_stats& stats() const { return stats_; }

private:
    struct open_request {
        account_receipt receipt;
        std::size_t bytes = 0;
        monotonic_time since;
        // Position in unwritten_receipts_, or its end once the receipt is in a batch.
        std::list<const open_request*>::iterator queue_position;
    };
    struct sent_batch {
        std::string content;
        std::size_t bytes = 0; // of the records in the buffer
        std::size_t ends = 0;
        std::size_t receipts = 0;
        dropped_records dropped;
        wall_time first;
        wall_time last;
        bool is_last = false;
    };

    void schedule(duration delay);
    void flush();
    bool has_work() const;
    bool has_due_receipt() const;
    sent_batch make_batch();
    void send();
    void finish_attempt(std::uint64_t attempt, const result<log_offset>& stored);
    void finish(const result<log_offset>& stored);
    void drop_batch();
    void finish_close(result<void> outcome);
    duration backoff() const;

    log_service& log_;
    timer_service& timers_;
    account_writer_settings settings_;
    std::size_t instances_ = 1;

    std::unordered_map<std::string, open_request> open_;
    std::list<const open_request*> unwritten_receipts_; // entries of open_, oldest first
    std::deque<account_record> ends_;
    std::size_t buffered_bytes_ = 0;
    dropped_records dropped_;

    std::unique_ptr<sent_batch> in_flight_; // kept with its number until stored or rejected
    std::uint64_t next_number_ = 1;
    unsigned failures_ = 0; // consecutive failed appends
    monotonic_time last_stored_{};
    bool has_stored_ = false;
    bool awaiting_reply_ = false;
    bool closing_ = false;
    bool closed_ = false;
    done_callback close_done_;
    timer_id timer_ = 0;
    timer_id close_timer_ = 0;
    timer_id append_timer_ = 0;
    account_writer_stats stats_;
    std::shared_ptr<account_writer*> alive_;
};

} // namespace cactusloom
