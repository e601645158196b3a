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

// Records that a writer stores with one append.
struct account_batch {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0; // from 1, grows by one within an incarnation
    wall_time written;
    // Low watermark: every request received before this time is in this batch, an earlier one or a
    // gap.
    wall_time watermark;
    bool is_last = false; // closing batch of an orderly shutdown
    std::optional<dropped_records> dropped;
    std::vector<account_receipt> receipts; // requests that were open when the batch was made
    std::vector<account_record> ends;
};

// Encodes a batch as a header line followed by one JSON array a line. Worker names are written once
// a batch and times as differences, since they make up most of a record's bytes.
class account_batch_encoder {
public:
    // Uses the header fields only, most of them in finish(); records are passed to add().
    explicit account_batch_encoder(const account_batch& header);

    void add(const account_receipt& it);
    void add(const account_record& it);

    // Estimated size of the text so far, in bytes.
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

// Error `invalid_argument` if any line is malformed; no part of such a batch is returned.
result<account_batch> decode_batch(std::string_view text);

} // namespace cactusloom
