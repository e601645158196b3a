#pragma once

#include "account/account_record.h"
#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// One append of one writer.
struct account_batch {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0; // from 1, grows by one within an incarnation
    wall_time written;
    // Every request received before this time is in this batch or an earlier one, or in a gap.
    wall_time watermark;
    bool is_last = false; // the writer shut down in order after this batch
    std::optional<dropped_records> dropped;
    std::vector<account_receipt> receipts; // requests that were open when the batch was made
    std::vector<account_record> ends;
};

// Builds the text of a batch: a header line, then one JSON array a line. Worker names are written
// once a batch and times as differences, since they are most of a record's bytes.
class account_batch_encoder {
public:
    // Uses the batch's header fields; its records are given to add().
    explicit account_batch_encoder(const account_batch& header);

    void add(const account_receipt& it);
    void add(const account_record& it);

    // Bytes of the text so far.
    std::size_t size() const { return lines_.size() + header_bytes_ + names_bytes_; }
    std::string finish() &&;

private:
    std::size_t worker_index(const std::string& name);

    const account_batch& header_;
    std::string lines_;
    std::map<std::string, std::size_t, std::less<>> indexes_;
    std::vector<std::string> names_;
    std::size_t header_bytes_ = 256; // bound for the header's other fields
    std::size_t names_bytes_ = 0;
};

std::string encode_batch(const account_batch& batch);

// Error `invalid_argument` if any line does not fit; no part of such a batch is used.
result<account_batch> decode_batch(std::string_view text);

} // namespace cactusloom
