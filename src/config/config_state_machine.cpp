#include "config/config_state_machine.h"

#include "base/hash.h"
#include "config/config_record_codec.h"
#include "config/document_diff.h"
#include "section_reader.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace cactusloom {
namespace {

// Snapshots are written a few seconds after the offset they cover, so 128 records suffice.
constexpr std::size_t checkpoint_capacity = 128;
constexpr std::size_t max_detail_bytes = 300;

// Truncates a text without splitting a UTF-8 character.
std::string truncated(std::string text)
{
    if (text.size() > max_detail_bytes) {
        auto end = max_detail_bytes;
        while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
            --end;
        }
        text.resize(end);
    }
    return text;
}

std::string join_findings(std::span<const finding> findings)
{
    auto text = to_string(findings);
    std::replace(text.begin(), text.end(), '\n', ';');
    return text;
}

std::string summary_of_change(std::string_view before, std::string_view after)
{
    const auto changes = diff_lines(before, after);
    const auto added = std::count_if(changes.begin(), changes.end(), [](const auto& it) {
        return it.what == line_change::side::added;
    });
    std::string text = fmt::format("{} lines added, {} removed", added,
                                   static_cast<std::ptrdiff_t>(changes.size()) - added);
    for (const auto& it : changes) {
        if (text.size() > max_detail_bytes) {
            break;
        }
        text += fmt::format("; {}{}", it.what == line_change::side::added ? '+' : '-', it.text);
    }
    return text;
}

std::uint64_t digest_of_section(std::uint64_t seed, log_offset version, std::string_view edit_id,
                                std::uint64_t text_hash)
{
    return hash64(fmt::format("{} {} {}", version, edit_id, text_hash), seed);
}

} // namespace

const char* to_string(edit_verdict verdict)
{
    switch (verdict) {
    case edit_verdict::accepted:
        return "accepted";
    case edit_verdict::stale_base:
        return "stale_base";
    case edit_verdict::not_owner:
        return "not_owner";
    case edit_verdict::invalid:
        return "invalid";
    case edit_verdict::duplicate:
        return "duplicate";
    }
    return "invalid";
}

result<config_state_machine> config_state_machine::from_snapshot(const config_snapshot& snapshot)
{
    std::array<std::string, document::section_count> texts;
    if (snapshot.next == 0 || snapshot.sections.size() != texts.size() ||
        snapshot.history.size() > history_capacity) {
        return failure(errc::invalid_argument, "snapshot is incomplete");
    }
    config_state_machine state_machine;
    for (std::size_t n = 0; n < texts.size(); ++n) {
        const auto& section = snapshot.sections[n];
        if (section.name != document_sections()[n] || section.version >= snapshot.next) {
            return failure(errc::invalid_argument, "snapshot has a section out of order");
        }
        texts[n] = section.text;
        state_machine.sections_[n] = {section.version, section.author, section.edit_id,
                                      hash64(section.text)};
    }
    auto parsed = document::from_sections(texts);
    if (!parsed) {
        return failure(errc::invalid_argument, to_string(parsed.error()));
    }
    state_machine.document_ = std::move(parsed.value());
    state_machine.next_ = snapshot.next;
    state_machine.last_digest_ = snapshot.last_digest;
    state_machine.chain_digest_ = snapshot.chain_digest;
    state_machine.history_.assign(snapshot.history.begin(), snapshot.history.end());
    if (snapshot.has_snapshot) {
        state_machine.newest_snapshot_ = {snapshot.snapshot_offset, snapshot.snapshot_next,
                                          snapshot.snapshot_time};
    }
    state_machine.checkpoints_.push_back(
        {state_machine.next_, state_machine.chain_digest_, state_machine.sections_digest()});
    return state_machine;
}

record_effect config_state_machine::apply(const log_record& record)
{
    assert(record.offset == next_);
    record_effect effect;
    auto decoded = decode_config_record(record.content);
    if (!decoded) {
        effect.malformed = true;
    }
    else if (auto* edit = std::get_if<config_edit>(&decoded.value())) {
        std::optional<document> next;
        auto outcome = evaluate(*edit, next);
        if (outcome.verdict == edit_verdict::accepted) {
            accept(*edit, outcome, std::move(*next));
            effect.document_changed = true;
            fill_current(outcome, edit->section);
        }
        append_history(*edit, outcome, record.time);
        effect.edit = std::move(outcome);
    }
    else {
        const auto& snapshot = std::get<config_snapshot>(decoded.value());
        effect.malformed = snapshot.next > next_;
        effect.snapshot_differs = !effect.malformed && contradicts(snapshot);
        if (!effect.malformed && !effect.snapshot_differs) {
            newest_snapshot_ = {record.offset, snapshot.next, record.time};
        }
    }
    last_digest_ = hash64(record.content);
    chain_digest_ = hash64(record.content, chain_digest_);
    ++next_;
    checkpoints_.push_back({next_, chain_digest_, sections_digest()});
    if (checkpoints_.size() > checkpoint_capacity) {
        checkpoints_.pop_front();
    }
    return effect;
}

edit_outcome config_state_machine::evaluate(const config_edit& edit) const
{
    std::optional<document> next;
    return evaluate(edit, next);
}

edit_outcome config_state_machine::evaluate(const config_edit& edit,
                                            std::optional<document>& next) const
{
    edit_outcome outcome;
    outcome.edit_id = edit.id;
    outcome.offset = next_;
    fill_current(outcome, edit.section);
    const auto decide = [&](edit_verdict verdict, std::string detail) {
        outcome.verdict = verdict;
        outcome.detail = truncated(std::move(detail));
        return outcome;
    };
    const auto refuse = [&](std::vector<finding> findings) {
        outcome.findings = std::move(findings);
        return decide(edit_verdict::invalid, join_findings(outcome.findings));
    };
    if (outcome_of(edit.id) ||
        std::any_of(sections_.begin(), sections_.end(),
                    [&](const section_state& it) { return document_ && it.edit_id == edit.id; })) {
        return decide(edit_verdict::duplicate, "repeated append");
    }
    if (!is_valid_name(edit.id) || !is_valid_name(edit.author)) {
        return refuse({{"", "", 0, "edit id and author must be names of 1 to 64 characters"}});
    }
    if (edit.content.size() > max_content_bytes) {
        return refuse({{edit.section, "", 0,
                        fmt::format("content is longer than {} bytes", max_content_bytes)}});
    }
    if (edit.section == whole_document) {
        if (document_) {
            return decide(edit_verdict::stale_base, "there is a document already");
        }
        auto first = document::parse(edit.content);
        if (!first) {
            return refuse(std::move(first.error()));
        }
        if (first.value().owner_of("owners") != edit.author) {
            return decide(edit_verdict::not_owner,
                          fmt::format("the first document must come from {}, the owner of owners",
                                      first.value().owner_of("owners")));
        }
        next = std::move(first.value());
        return decide(edit_verdict::accepted, "first document");
    }
    if (!document_) {
        return refuse({{edit.section, "", 0, "there is no document yet"}});
    }
    const auto index = section_index(edit.section);
    if (index == document::section_count) {
        return refuse({{edit.section, "", 0, "unknown section"}});
    }
    if (document_->owner_of(edit.section) != edit.author) {
        return decide(edit_verdict::not_owner,
                      fmt::format("the section is owned by {}", document_->owner_of(edit.section)));
    }
    const auto& section = sections_[index];
    if (section.version != edit.base_version) {
        return decide(edit_verdict::stale_base,
                      fmt::format("version {} is in force, edit {} by {}", section.version,
                                  section.edit_id, section.author));
    }
    auto changed = document_->with_section(edit.section, edit.content);
    if (!changed) {
        return refuse(std::move(changed.error()));
    }
    next = std::move(changed.value());
    return decide(edit_verdict::accepted,
                  summary_of_change(document_->section_text(edit.section), edit.content));
}

void config_state_machine::accept(const config_edit& edit, const edit_outcome& outcome,
                                  document next)
{
    document_ = std::move(next);
    for (std::size_t n = 0; n < sections_.size(); ++n) {
        const auto name = document_sections()[n];
        if (edit.section == whole_document || edit.section == name) {
            sections_[n] = {outcome.offset, edit.author, edit.id,
                            hash64(document_->section_text(name))};
        }
    }
}

void config_state_machine::append_history(const config_edit& edit, const edit_outcome& outcome,
                                          wall_time time)
{
    if (outcome.verdict == edit_verdict::duplicate) {
        for (auto& it : history_) {
            if (it.edit_id == edit.id) {
                ++it.repeats;
            }
        }
        return;
    }
    // Ids come from outside and may be any text; truncating them bounds the history in bytes.
    history_.push_back({outcome.offset, time, truncated(edit.id), truncated(edit.author),
                        truncated(edit.section), edit.base_version, outcome.verdict, outcome.detail,
                        0});
    if (history_.size() > history_capacity) {
        history_.pop_front();
    }
}

std::optional<edit_outcome> config_state_machine::outcome_of(std::string_view edit_id) const
{
    for (const auto& it : history_) {
        if (it.edit_id == edit_id) {
            edit_outcome outcome;
            outcome.edit_id = it.edit_id;
            outcome.offset = it.offset;
            outcome.verdict = it.verdict;
            outcome.detail = it.detail;
            fill_current(outcome, it.section);
            return outcome;
        }
    }
    return std::nullopt;
}

void config_state_machine::fill_current(edit_outcome& outcome, std::string_view section) const
{
    const auto index = section == whole_document ? 0 : section_index(section);
    if (document_ && index < sections_.size()) {
        outcome.current_version = sections_[index].version;
        outcome.current_author = sections_[index].author;
        outcome.current_edit_id = sections_[index].edit_id;
    }
}

config_snapshot config_state_machine::snapshot() const
{
    assert(document_);
    config_snapshot all;
    all.next = next_;
    all.last_digest = last_digest_;
    all.chain_digest = chain_digest_;
    if (newest_snapshot_) {
        all.has_snapshot = true;
        all.snapshot_offset = newest_snapshot_->offset;
        all.snapshot_next = newest_snapshot_->next;
        all.snapshot_time = newest_snapshot_->time;
    }
    for (std::size_t n = 0; n < sections_.size(); ++n) {
        const auto name = document_sections()[n];
        const auto& state = sections_[n];
        all.sections.push_back({std::string(name), std::string(document_->section_text(name)),
                                state.version, state.author, state.edit_id});
    }
    all.history.assign(history_.begin(), history_.end());
    return all;
}

log_offset config_state_machine::version_of(std::string_view section) const
{
    const auto index = section_index(section);
    return index == sections_.size() ? 0 : sections_[index].version;
}

log_offset config_state_machine::document_version() const
{
    log_offset newest = 0;
    for (const auto& it : sections_) {
        newest = std::max(newest, it.version);
    }
    return newest;
}

bool config_state_machine::can_be_followed_by(const config_state_machine& later) const
{
    if (!document_) {
        return later.next_ >= next_;
    }
    if (!later.document_ || later.next_ < next_ ||
        (later.next_ == next_ && later.chain_digest_ != chain_digest_)) {
        return false;
    }
    for (std::size_t n = 0; n < sections_.size(); ++n) {
        const auto& ours = sections_[n];
        const auto& theirs = later.sections_[n];
        if (theirs.version < ours.version ||
            (theirs.version == ours.version && theirs.text_hash != ours.text_hash)) {
            return false;
        }
    }
    return true;
}

bool config_state_machine::contradicts(const config_snapshot& snapshot) const
{
    const auto checkpoint =
        std::find_if(checkpoints_.begin(), checkpoints_.end(),
                     [&](const state_checkpoint& it) { return it.next == snapshot.next; });
    if (checkpoint == checkpoints_.end()) {
        return false;
    }
    std::uint64_t digest = 0;
    for (const auto& it : snapshot.sections) {
        digest = digest_of_section(digest, it.version, it.edit_id, hash64(it.text));
    }
    return snapshot.chain_digest != checkpoint->chain || digest != checkpoint->sections;
}

std::uint64_t config_state_machine::sections_digest() const
{
    std::uint64_t digest = 0;
    for (const auto& it : sections_) {
        digest = digest_of_section(digest, it.version, it.edit_id, it.text_hash);
    }
    return digest;
}

} // namespace cactusloom
