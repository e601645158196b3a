#pragma once

#include "config/config_record.h"
#include "config/document.h"

#include <array>
#include <deque>
#include <optional>

namespace cactusloom {

// Effect of one record on the state machine.
struct record_effect {
    std::optional<edit_outcome> edit; // set for an edit record
    bool document_changed = false;
    bool malformed = false;        // neither edit nor snapshot; has no effect
    bool snapshot_differs = false; // a snapshot that contradicts this state; has no effect
};

// Replicated state machine of the configuration: applies the records of stream `config` in offset
// order. Verdicts depend on the records alone, not on clocks, random numbers or local settings.
class config_state_machine {
public:
    // Edits in the audit history, whose ids also identify repeated appends. Verdicts depend on this
    // number, so all instances must use the same one. 512 edits are almost three hours at 4,300
    // changes a day.
    static constexpr std::size_t history_capacity = 512;

    // Larger contents are invalid. 1,000 workers take about 110 KB.
    static constexpr std::size_t max_content_bytes = std::size_t{512} * 1024;

    // Error `invalid_argument` if the snapshot's document is not valid or is incomplete.
    static result<config_state_machine> from_snapshot(const config_snapshot& snapshot);

    // Applies the record at next_offset().
    record_effect apply(const log_record& record);

    // The verdict that the edit would get as the next record. Changes nothing.
    edit_outcome evaluate(const config_edit& edit) const;

    // The state as a snapshot. Requires a document.
    config_snapshot snapshot() const;

    log_offset next_offset() const { return next_; }
    std::uint64_t last_digest() const { return last_digest_; }
    std::uint64_t chain_digest() const { return chain_digest_; }

    bool has_document() const { return document_.has_value(); }
    const document& current() const { return *document_; }

    // Version of a section, and the newest of all sections. Zero without a document.
    log_offset version_of(std::string_view section) const;
    log_offset document_version() const;

    // Audit history, oldest first.
    const std::deque<config_change>& history() const { return history_; }

    // The first verdict on an edit, if it is still in the history.
    std::optional<edit_outcome> outcome_of(std::string_view edit_id) const;

    // Newest snapshot record, if there was one.
    struct snapshot_position {
        log_offset offset = 0;
        log_offset next = 0; // first offset that the snapshot does not cover
        wall_time time;
    };
    const std::optional<snapshot_position>& newest_snapshot() const { return newest_snapshot_; }

    // True if `later` can follow this state: it has applied at least as many records, no section
    // has an older version, and sections of the same version have the same text.
    bool can_be_followed_by(const config_state_machine& later) const;

private:
    struct section_state {
        log_offset version = 0;
        std::string author;
        std::string edit_id;
        std::uint64_t text_hash = 0;
    };

    // Digests of the state before offset `next`, for comparison with snapshots that are read later.
    struct state_checkpoint {
        log_offset next = 0;
        std::uint64_t chain = 0;
        std::uint64_t sections = 0;
    };

    edit_outcome evaluate(const config_edit& edit, std::optional<document>& next) const;
    void accept(const config_edit& edit, const edit_outcome& outcome, document next);
    void append_history(const config_edit& edit, const edit_outcome& outcome, wall_time time);
    bool contradicts(const config_snapshot& snapshot) const;
    std::uint64_t sections_digest() const;
    void fill_current(edit_outcome& outcome, std::string_view section) const;

    log_offset next_ = 0;
    std::uint64_t last_digest_ = 0;
    std::uint64_t chain_digest_ = 0;
    std::optional<document> document_;
    std::array<section_state, document::section_count> sections_;
    std::deque<config_change> history_;
    std::deque<state_checkpoint> checkpoints_;
    std::optional<snapshot_position> newest_snapshot_;
};

} // namespace cactusloom
