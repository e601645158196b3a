#include "config/document.h"

#include "section_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <map>
#include <set>

namespace cactusloom {
namespace {

constexpr std::array<std::string_view, document::section_count> section_names{
    "owners",  "deployment", "profile",   "limits",  "request_kinds",
    "workers", "teams",      "customers", "account",
};

// Names that router::make accepts. Checked here because otherwise every instance would accept a
// document with another name and none could serve with it.
constexpr std::array<std::string_view, 6> routing_names{"predicted_finish", "two_choices_finish",
                                                        "two_choices",      "fewest_outstanding",
                                                        "round_robin",      "random"};

bool is_valid_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port_text = text.substr(colon + 1);
    std::uint32_t port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    constexpr std::uint32_t max_port = 65535;
    if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0 || port > max_port) {
        return false;
    }
    std::string host(text.substr(0, colon));
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), buf.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), buf.data()) == 1;
}

struct text_part {
    std::string_view section; // empty for text before the first header
    std::string_view text;
};

// The top-level name in a table header such as "[[teams]]", or empty if the line is no header.
std::string_view header_name(std::string_view line)
{
    const auto start = line.find_first_not_of(" \t");
    if (start == std::string_view::npos || line[start] != '[') {
        return {};
    }
    const auto name = line.find_first_not_of("[ \t", start);
    if (name == std::string_view::npos) {
        return {};
    }
    const auto end = line.find_first_of(".] \t", name);
    return line.substr(name, end == std::string_view::npos ? end : end - name);
}

// Splits a document before the headers (and the comments directly above them) at which the section
// changes. A line inside a multi-line string that looks like a header causes a wrong split; the
// parts then fail to parse, so such a document is rejected and never misread.
std::vector<text_part> split_text(std::string_view text)
{
    std::vector<text_part> parts;
    std::size_t part_start = 0;
    std::string_view part_name;
    std::size_t comment_start = std::string_view::npos;
    for (std::size_t at = 0; at < text.size();) {
        const auto eol = std::min(text.find('\n', at), text.size() - 1);
        const auto line = text.substr(at, eol - at);
        const auto name = header_name(line);
        if (!name.empty() && name != part_name) {
            const auto cut = comment_start == std::string_view::npos ? at : comment_start;
            if (!part_name.empty()) {
                parts.push_back({part_name, text.substr(part_start, cut - part_start)});
                part_start = cut;
            }
            part_name = name;
        }
        const auto first = line.find_first_not_of(" \t\r");
        if (first == std::string_view::npos || line[first] != '#') {
            comment_start = std::string_view::npos;
        }
        else if (comment_start == std::string_view::npos) {
            comment_start = at;
        }
        at = eol + 1;
    }
    parts.push_back({part_name, text.substr(part_start)});
    return parts;
}

} // namespace

std::span<const std::string_view> document_sections()
{
    return section_names;
}

std::size_t section_index(std::string_view section)
{
    return static_cast<std::size_t>(std::find(section_names.begin(), section_names.end(), section) -
                                    section_names.begin());
}

// Fills a document from TOML, section by section, and then checks it as a whole.
class document_reader {
public:
    explicit document_reader(const document& base) : document_(base)
    {
        if (base.settings_) {
            settings_ = *base.settings_;
        }
    }

    std::vector<finding>& findings() { return findings_; }
    void set_text(std::size_t section, std::string_view text) { document_.texts_[section] = text; }

    void read_section(std::string_view name, const toml::node& node);
    void read_section_text(std::size_t index, std::string_view text);
    void check_across_sections();

    checked<document> finish()
    {
        if (!findings_.empty()) {
            std::stable_sort(findings_.begin(), findings_.end(),
                             [](const finding& a, const finding& b) {
                                 return std::pair(section_index(a.section), a.line) <
                                        std::pair(section_index(b.section), b.line);
                             });
            return boost::outcome_v2::failure(std::move(findings_));
        }
        document_.settings_ = std::make_shared<const deployment>(std::move(settings_));
        return std::move(document_);
    }

private:
    using read_function = void (document_reader::*)(std::string_view, const toml::table&);

    void read_owners(std::string_view name, const toml::table& table);
    void read_deployment(std::string_view name, const toml::table& table);
    void read_profile(std::string_view name, const toml::table& table);
    void read_limits(std::string_view name, const toml::table& table);
    void read_kinds(std::string_view name, const toml::array& list);
    void read_workers(std::string_view name, const toml::table& table);
    void read_teams(std::string_view name, const toml::array& list);
    void read_customers(std::string_view name, const toml::table& table);
    void read_account(std::string_view name, const toml::table& table);

    // Calls `read` with a reader and an empty entry for each table of a list.
    template<typename Entry, typename Read>
    void read_entries(std::string_view name, std::string_view prefix, const toml::array& list,
                      std::vector<Entry>& entries, std::vector<std::uint32_t>& lines, Read read);

    void report(std::string_view section, std::string key, std::uint32_t line, std::string message)
    {
        findings_.push_back({std::string(section), std::move(key), line, std::move(message)});
    }

    document document_;
    deployment settings_;
    std::vector<finding> findings_;
};

void document_reader::read_section(std::string_view name, const toml::node& node)
{
    const auto line = node.source().begin.line;
    if (name == "request_kinds" || name == "teams") {
        const auto* list = node.as_array();
        if (list == nullptr) {
            report(name, "", line, fmt::format("must be a list of tables, [[{}]]", name));
        }
        else if (name == "teams") {
            read_teams(name, *list);
        }
        else {
            read_kinds(name, *list);
        }
        return;
    }
    static const std::map<std::string_view, read_function> readers{
        {"owners", &document_reader::read_owners},
        {"deployment", &document_reader::read_deployment},
        {"profile", &document_reader::read_profile},
        {"limits", &document_reader::read_limits},
        {"workers", &document_reader::read_workers},
        {"customers", &document_reader::read_customers},
        {"account", &document_reader::read_account},
    };
    const auto reader = readers.find(name);
    if (reader == readers.end()) {
        report(name, "", line, "unknown section");
    }
    else if (const auto* table = node.as_table(); table == nullptr) {
        report(name, "", line, fmt::format("must be a table, [{}]", name));
    }
    else {
        (this->*reader->second)(name, *table);
    }
}

void document_reader::read_owners(std::string_view name, const toml::table& table)
{
    section_reader reader(table, std::string(name), "", findings_);
    settings_.owners.clear();
    for (const auto section : section_names) {
        std::string team;
        reader.read_name(section, team);
        settings_.owners.push_back({std::string(section), std::move(team)});
    }
    reader.finish();
}

void document_reader::read_deployment(std::string_view name, const toml::table& table)
{
    section_reader reader(table, std::string(name), "", findings_);
    reader.read_name("name", settings_.name);
    settings_.lease = deployment{}.lease;
    // Most tasks outlast a lease under 100 ms, which would have to be renewed for each of them.
    reader.read_milliseconds("lease_ms", settings_.lease, 100, 600'000);
    reader.finish();
}

void document_reader::read_profile(std::string_view name, const toml::table& table)
{
    section_reader reader(table, std::string(name), "", findings_);
    auto& profile = settings_.profile = {};
    reader.read("response_time_weight", profile.response_time_weight, 0.0, 1.0, true);
    reader.read("wasted_message_weight", profile.wasted_message_weight, 0.0, 1.0, true);
    reader.read("routing", profile.routing);
    if (std::find(routing_names.begin(), routing_names.end(), profile.routing) ==
        routing_names.end()) {
        report(name, "routing", reader.line_of("routing"),
               fmt::format("must be one of {}", fmt::join(routing_names, ", ")));
    }
    // Two messages a task are needed; more than four would let every task start twice.
    reader.read("message_budget", profile.message_budget, 2.0, 4.0);
    reader.read("hedge_quantile", profile.hedge_quantile, 0.5, 0.9999);
    reader.read("retry_ratio", profile.retry_ratio, 0.0, 1.0);
    reader.finish();
}

void document_reader::read_limits(std::string_view name, const toml::table& table)
{
    section_reader reader(table, std::string(name), "", findings_);
    auto& limits = settings_.limits = {};
    reader.read("max_tasks_per_job", limits.max_tasks_per_job, 1, 700);
    reader.read("max_queued_tasks", limits.max_queued_tasks, 1, 1'000'000);
    reader.read("max_body_bytes", limits.max_body_bytes, 1024, 1 << 20);
    reader.read_milliseconds("max_deadline_ms", limits.max_deadline, 1, 60'000);
    reader.read_milliseconds("answer_retention_ms", limits.answer_retention, 1, 3'600'000);
    reader.finish();
}

template<typename Entry, typename Read>
void document_reader::read_entries(std::string_view name, std::string_view prefix,
                                   const toml::array& list, std::vector<Entry>& entries,
                                   std::vector<std::uint32_t>& lines, Read read)
{
    entries.clear();
    lines.clear();
    for (std::size_t n = 0; n < list.size(); ++n) {
        const auto path = fmt::format("{}[{}]", prefix, n);
        const auto* table = list[n].as_table();
        if (table == nullptr) {
            report(name, path, list[n].source().begin.line, "must be a table");
            continue;
        }
        section_reader reader(*table, std::string(name), path + ".", findings_);
        entries.emplace_back();
        lines.push_back(reader.line());
        read(reader, entries.back());
        reader.finish();
    }
    if (list.empty()) {
        report(name, std::string(prefix), list.source().begin.line, "must have an entry");
    }
}

void document_reader::read_kinds(std::string_view name, const toml::array& list)
{
    std::set<std::string> names;
    const auto read = [&](section_reader& reader, request_kind& kind) {
        reader.read_name("name", kind.name);
        reader.read("idempotent", kind.idempotent, true);
        reader.read("second_start", kind.second_start);
        reader.read_milliseconds("run_time_ms", kind.declared_run_time, 1, 60'000, true);
        reader.read_milliseconds("deadline_ms", kind.default_deadline, 1, 60'000, true);
        reader.read_names("needs", kind.needs);
        if (kind.second_start && !kind.idempotent) {
            report(name, fmt::format("{}.second_start", kind.name), reader.line_of("second_start"),
                   "is only allowed for an idempotent kind");
        }
        if (kind.default_deadline < kind.declared_run_time) {
            report(name, fmt::format("{}.deadline_ms", kind.name), reader.line_of("deadline_ms"),
                   "is shorter than run_time_ms, so that every request would be late");
        }
        if (!kind.name.empty() && !names.insert(kind.name).second) {
            report(name, kind.name, reader.line_of("name"), "is declared twice");
        }
    };
    read_entries(name, "", list, settings_.kinds, document_.lines_.kinds, read);
}

void document_reader::read_workers(std::string_view name, const toml::table& table)
{
    section_reader section(table, std::string(name), "", findings_);
    std::uint32_t slots = 0;
    std::uint32_t max_connections = 0;
    constexpr std::int64_t max_slots = 1024;
    section.read("slots", slots, 1, max_slots);
    section.read("max_connections", max_connections, 1, max_slots);
    std::set<std::string> names;
    std::set<std::string> addresses;
    std::map<std::string, std::string> rack_data_centres;
    const auto read = [&](section_reader& reader, worker_settings& worker) {
        worker.slots = slots;
        worker.max_connections = max_connections;
        reader.read_name("name", worker.name);
        reader.read("address", worker.address, true);
        reader.read_name("rack", worker.rack);
        reader.read_name("data_centre", worker.data_centre);
        // Values for all workers may be given at the head of the section instead.
        reader.read("slots", worker.slots, 1, max_slots, slots == 0);
        reader.read("max_connections", worker.max_connections, 1, max_slots, max_connections == 0);
        reader.read_names("features", worker.features);
        if (!worker.address.empty() && !is_valid_address(worker.address)) {
            report(name, fmt::format("{}.address", worker.name), reader.line_of("address"),
                   "must be an IP number and a port, for example 10.0.0.1:9400");
        }
        if (!worker.name.empty() && !names.insert(worker.name).second) {
            report(name, worker.name, reader.line_of("name"), "is declared twice");
        }
        if (!worker.address.empty() && !addresses.insert(worker.address).second) {
            report(name, fmt::format("{}.address", worker.name), reader.line_of("address"),
                   "is the address of another worker");
        }
        const auto rack = rack_data_centres.try_emplace(worker.rack, worker.data_centre).first;
        if (!worker.rack.empty() && rack->second != worker.data_centre) {
            report(name, fmt::format("{}.data_centre", worker.name), reader.line_of("data_centre"),
                   fmt::format("rack {} is in data centre {}", worker.rack, rack->second));
        }
    };
    if (const auto* list = section.read_list("list")) {
        read_entries(name, "list", *list, settings_.workers, document_.lines_.workers, read);
    }
    section.finish();
}

void document_reader::read_teams(std::string_view name, const toml::array& list)
{
    std::set<std::string> names;
    const auto read = [&](section_reader& reader, team_quota& team) {
        reader.read_name("name", team.name);
        reader.read("weight", team.weight, 0.001, 1000.0);
        reader.read("max_in_flight", team.max_in_flight, 0, 1'000'000);
        if (!team.name.empty() && !names.insert(team.name).second) {
            report(name, team.name, reader.line_of("name"), "is declared twice");
        }
    };
    read_entries(name, "", list, settings_.teams, document_.lines_.teams, read);
}

void document_reader::read_customers(std::string_view name, const toml::table& table)
{
    section_reader section(table, std::string(name), "", findings_);
    std::set<std::string> ids;
    const auto read = [&](section_reader& reader, customer_settings& customer) {
        reader.read_name("id", customer.id);
        reader.read_name("team", customer.team);
        if (!customer.id.empty() && !ids.insert(customer.id).second) {
            report(name, customer.id, reader.line_of("id"), "is declared twice");
        }
    };
    if (const auto* list = section.read_list("list")) {
        read_entries(name, "list", *list, settings_.customers, document_.lines_.customers, read);
    }
    section.finish();
}

void document_reader::read_account(std::string_view name, const toml::table& table)
{
    section_reader reader(table, std::string(name), "", findings_);
    settings_.account_appends_per_second = deployment{}.account_appends_per_second;
    // The log takes several hundred appends a second in total, and configuration needs some of
    // them.
    reader.read("appends_per_second", settings_.account_appends_per_second, 1, 300);
    reader.finish();
}

void document_reader::check_across_sections()
{
    std::set<std::string_view> teams;
    for (const auto& it : settings_.teams) {
        teams.insert(it.name);
    }
    for (std::size_t n = 0; n < settings_.customers.size(); ++n) {
        const auto& customer = settings_.customers[n];
        if (!customer.team.empty() && !teams.contains(customer.team)) {
            report("customers", fmt::format("{}.team", customer.id), document_.lines_.customers[n],
                   fmt::format("there is no team {}", customer.team));
        }
    }
    for (std::size_t n = 0; n < settings_.kinds.size(); ++n) {
        const auto& kind = settings_.kinds[n];
        const auto line = document_.lines_.kinds[n];
        const auto can_run = [&](const worker_settings& worker) {
            return std::all_of(kind.needs.begin(), kind.needs.end(), [&](const auto& need) {
                return std::find(worker.features.begin(), worker.features.end(), need) !=
                       worker.features.end();
            });
        };
        if (!settings_.workers.empty() &&
            std::none_of(settings_.workers.begin(), settings_.workers.end(), can_run)) {
            report("request_kinds", fmt::format("{}.needs", kind.name), line,
                   "no worker has all features that the kind needs");
        }
        if (kind.default_deadline > settings_.limits.max_deadline) {
            report("request_kinds", fmt::format("{}.deadline_ms", kind.name), line,
                   "is longer than limits.max_deadline_ms");
        }
    }
}

checked<document> document::parse(std::string_view text)
{
    const document empty;
    document_reader reader(empty);
    try {
        const auto root = toml::parse(text);
        for (const auto name : section_names) {
            if (!root.contains(name)) {
                reader.findings().push_back({std::string(name), "", 0, "section is missing"});
            }
        }
        for (const auto& [key, node] : root) {
            reader.read_section(key.str(), node);
        }
    }
    catch (const toml::parse_error& e) {
        reader.findings().push_back({"", "", e.source().begin.line, std::string(e.description())});
        return reader.finish();
    }
    reader.check_across_sections();
    std::set<std::string_view> seen;
    for (const auto& part : split_text(text)) {
        const auto index = section_index(part.section);
        if (index == section_count || !seen.insert(part.section).second) {
            if (reader.findings().empty()) {
                reader.findings().push_back({std::string(part.section), "", 0,
                                             "the tables of a section must stand together"});
            }
            continue;
        }
        reader.set_text(index, part.text);
    }
    auto whole = reader.finish();
    if (!whole) {
        return whole;
    }
    // Lines are kept relative to their sections, so that later findings do not depend on whether
    // the document came as a whole or from a snapshot.
    return from_sections(whole.value().texts_);
}

void document_reader::read_section_text(std::size_t index, std::string_view text)
{
    const auto section = section_names[index];
    try {
        const auto root = toml::parse(text);
        for (const auto& [key, node] : root) {
            if (key.str() != section) {
                report(section, std::string(key.str()), key.source().begin.line,
                       "is outside the section");
            }
        }
        const auto parts = split_text(text);
        if (const auto* node = root.get(section); node == nullptr) {
            report(section, "", 0, "section is missing");
        }
        else if (parts.size() != 1 || parts.front().section != section) {
            // Sections are concatenated into a document, so each needs its own header.
            report(section, "", node->source().begin.line,
                   "must be written as a table with a header");
        }
        else {
            read_section(section, *node);
        }
    }
    catch (const toml::parse_error& e) {
        report(section, "", e.source().begin.line, std::string(e.description()));
    }
    set_text(index, text);
}

checked<document> document::from_sections(std::span<const std::string, section_count> texts)
{
    const document empty;
    document_reader reader(empty);
    for (std::size_t n = 0; n < section_count; ++n) {
        reader.read_section_text(n, texts[n]);
    }
    reader.check_across_sections();
    return reader.finish();
}

checked<document> document::with_section(std::string_view section, std::string_view text) const
{
    document_reader reader(*this);
    const auto index = section_index(section);
    if (index == section_count) {
        reader.findings().push_back({std::string(section), "", 0, "unknown section"});
        return reader.finish();
    }
    reader.read_section_text(index, text);
    reader.check_across_sections();
    return reader.finish();
}

std::string_view document::owner_of(std::string_view section) const
{
    const auto& owners = settings_->owners;
    const auto it = std::find_if(owners.begin(), owners.end(),
                                 [&](const section_owner& o) { return o.section == section; });
    return it == owners.end() ? std::string_view{} : it->team;
}

std::string_view document::section_text(std::string_view section) const
{
    const auto index = section_index(section);
    return index == section_count ? std::string_view{} : texts_[index];
}

std::string document::text() const
{
    std::string all;
    for (const auto& text : texts_) {
        all += text;
        if (!text.empty() && text.back() != '\n') {
            all += '\n';
        }
    }
    return all;
}

checked<deployment> parse_document(std::string_view text)
{
    auto parsed = document::parse(text);
    if (!parsed) {
        return boost::outcome_v2::failure(std::move(parsed.error()));
    }
    return *parsed.value().settings();
}

std::string to_string(std::span<const finding> findings)
{
    std::string lines;
    for (const auto& it : findings) {
        fmt::format_to(std::back_inserter(lines), "line {}: {}{}{}: {}\n", it.line, it.section,
                       it.key.empty() ? "" : ": ", it.key, it.message);
    }
    return lines;
}

} // namespace cactusloom
