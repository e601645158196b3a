#include "command.h"
#include "config/config_record.h"
#include "config/document.h"
#include "http/json_text.h"

#include <fmt/format.h>
#include <glib.h>
#include <map>

namespace cactusloom::ctl {
namespace {

struct section_in_force {
    std::string text;
    std::uint64_t version = 0;
};

// The active document; `code` is not exit_ok if it could not be fetched and the reason was printed.
struct document_in_force {
    int code = exit_ok;
    std::map<std::string, section_in_force> sections;
    std::string text;
};

document_in_force fetch(const options& given)
{
    document_in_force found;
    http_call call;
    call.address = given.address;
    call.target = "/v1/config";
    const auto answer = exchange(call);
    if (answer.end != http_outcome::replied) {
        fmt::print(stderr, "config: no reply from {}: {}\n", given.address, answer.reason);
        found.code = exit_unreachable;
        return found;
    }
    const auto root = parse_json(answer.body);
    if (answer.status != 200 || !root || !root.value().isObject() ||
        !root.value()["sections"].isArray()) {
        fmt::print(stderr, "config: the reply contains no document: {}\n", answer.body);
        found.code = exit_failed;
        return found;
    }
    found.text = root.value()["text"].asString();
    for (const auto& it : root.value()["sections"]) {
        found.sections[it["name"].asString()] = {it["text"].asString(), it["version"].asUInt64()};
    }
    return found;
}

// Parses a file as a complete document; prints its errors and returns nullopt on failure.
std::optional<document> parse_file(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        return std::nullopt;
    }
    const auto parsed = document::parse(*text);
    if (!parsed) {
        fmt::print(stderr, "{}\n", to_string(parsed.error()));
        return std::nullopt;
    }
    return parsed.value();
}

int show(const options& given)
{
    const auto found = fetch(given);
    if (found.code != exit_ok) {
        return found.code;
    }
    if (given.section.empty()) {
        fmt::print("{}", found.text);
        return exit_ok;
    }
    const auto it = found.sections.find(given.section);
    if (it == found.sections.end()) {
        fmt::print(stderr, "config show: no section '{}'\n", given.section);
        return exit_failed;
    }
    fmt::print("# version {}\n{}", it->second.version, it->second.text);
    return exit_ok;
}

int check(const options& given)
{
    if (!parse_file(given.arguments.at(1))) {
        return exit_failed;
    }
    fmt::print("{}: no faults\n", given.arguments.at(1));
    return exit_ok;
}

int diff(const options& given)
{
    const auto file = parse_file(given.arguments.at(1));
    if (!file) {
        return exit_failed;
    }
    const auto found = fetch(given);
    if (found.code != exit_ok) {
        return found.code;
    }
    bool same = true;
    for (const auto& name : document_sections()) {
        const auto it = found.sections.find(std::string(name));
        if (it == found.sections.end() || it->second.text != file->section_text(name)) {
            same = false;
            fmt::print("section {} differs (in force: version {})\n", name,
                       it == found.sections.end() ? 0 : it->second.version);
        }
    }
    if (same) {
        fmt::print("no section differs\n");
    }
    return same ? exit_ok : exit_failed;
}

int publish(const options& given)
{
    if (given.author.empty() || given.section.empty()) {
        fmt::print(stderr, "config publish: --author and --section are needed\n");
        return exit_usage;
    }
    const auto text = read_file(given.arguments.at(1));
    if (!text) {
        return exit_usage;
    }
    const auto found = fetch(given);
    if (found.code != exit_ok) {
        return found.code;
    }
    // The file may be a complete document or a single section.
    std::string content = *text;
    if (const auto whole = document::parse(*text); whole && given.section != whole_document) {
        content = whole.value().section_text(given.section);
    }
    Json::Value edit(Json::objectValue);
    edit["id"] = fmt::format("{}-{:08x}{:08x}", given.author, g_random_int(), g_random_int());
    edit["author"] = given.author;
    edit["section"] = given.section;
    const auto in_force = found.sections.find(given.section);
    edit["base_version"] =
        Json::UInt64{in_force == found.sections.end() ? 0 : in_force->second.version};
    edit["content"] = content;
    http_call call;
    call.method = "POST";
    call.address = given.address;
    call.target = "/v1/config/edits";
    call.body = write_json(edit);
    call.limit = std::chrono::seconds{40};
    const auto answer = exchange(call);
    if (answer.end != http_outcome::replied) {
        fmt::print(stderr, "config publish: no reply: {}; look at 'config history' for {}\n",
                   answer.reason, edit["id"].asString());
        return answer.end == http_outcome::not_sent ? exit_unreachable : exit_unknown;
    }
    print_reply(answer.body, given.json);
    const auto root = parse_json(answer.body);
    if (!root || !root.value().isObject() || answer.status == 502 || answer.status == 504) {
        return exit_unknown;
    }
    return root.value()["verdict"].asString() == "accepted" ? exit_ok : exit_failed;
}

int history(const options& given)
{
    return print_resource(given, "/v1/config/history");
}

struct action {
    std::string_view name;
    int (*run)(const options&);
    std::size_t arguments; // number, including the name of the action
};

constexpr action actions[] = {
    {"check", check, 2},     {"show", show, 1},       {"diff", diff, 2},
    {"publish", publish, 2}, {"history", history, 1},
};

} // namespace

int run_config(const options& given)
{
    for (const auto& it : actions) {
        if (!given.arguments.empty() && given.arguments.front() == it.name &&
            given.arguments.size() == it.arguments) {
            return it.run(given);
        }
    }
    fmt::print(stderr, "config: give check FILE, show, diff FILE, publish FILE or history\n");
    return exit_usage;
}

} // namespace cactusloom::ctl
