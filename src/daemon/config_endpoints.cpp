#include "config_endpoints.h"

#include "http/json_text.h"

namespace cactusloom {
namespace {

Json::Value to_json(std::string_view text)
{
    return {text.data(), text.data() + text.size()};
}

std::string format_outcome(const edit_outcome& outcome)
{
    Json::Value root(Json::objectValue);
    root["edit_id"] = outcome.edit_id;
    root["verdict"] = to_string(outcome.verdict);
    root["offset"] = Json::UInt64{outcome.offset};
    root["detail"] = outcome.detail;
    root["current_version"] = Json::UInt64{outcome.current_version};
    root["current_author"] = outcome.current_author;
    Json::Value& findings = root["findings"] = Json::Value(Json::arrayValue);
    for (const auto& it : outcome.findings) {
        Json::Value entry(Json::objectValue);
        entry["section"] = it.section;
        entry["key"] = it.key;
        entry["line"] = it.line;
        entry["message"] = it.message;
        findings.append(std::move(entry));
    }
    return write_json(root);
}

} // namespace

std::string format_config(const config_follower& follower)
{
    Json::Value root(Json::objectValue);
    root["log_state"] = to_string(follower.log_state());
    root["version"] = Json::UInt64{follower.in_force().version};
    Json::Value& sections = root["sections"] = Json::Value(Json::arrayValue);
    const auto& state_machine = follower.state_machine();
    if (state_machine.has_document()) {
        root["text"] = state_machine.current().text();
        for (const auto& name : document_sections()) {
            Json::Value entry(Json::objectValue);
            entry["name"] = to_json(name);
            entry["version"] = Json::UInt64{state_machine.version_of(name)};
            entry["owner"] = to_json(state_machine.current().owner_of(name));
            entry["text"] = to_json(state_machine.current().section_text(name));
            sections.append(std::move(entry));
        }
    }
    return write_json(root);
}

std::string format_config_history(const config_follower& follower)
{
    Json::Value root(Json::objectValue);
    Json::Value& changes = root["changes"] = Json::Value(Json::arrayValue);
    for (const auto& it : follower.state_machine().history()) {
        Json::Value entry(Json::objectValue);
        entry["offset"] = Json::UInt64{it.offset};
        entry["time_us"] = Json::Int64{it.time.time_since_epoch().count()};
        entry["edit_id"] = it.edit_id;
        entry["author"] = it.author;
        entry["section"] = it.section;
        entry["base_version"] = Json::UInt64{it.base_version};
        entry["verdict"] = to_string(it.verdict);
        entry["detail"] = it.detail;
        entry["repeats"] = it.repeats;
        changes.append(std::move(entry));
    }
    return write_json(root);
}

void submit_config_edit(config_follower& follower, std::string_view body,
                        std::function<void(result<std::string>)> done)
{
    const auto root = parse_json(body);
    if (!root) {
        done(root.error());
        return;
    }
    const Json::Value& fields = root.value();
    if (!fields.isObject() || !fields["id"].isString() || !fields["author"].isString() ||
        !fields["section"].isString() || !fields["content"].isString() ||
        !fields["base_version"].isUInt64()) {
        done(failure(errc::invalid_argument,
                     "an edit needs 'id', 'author', 'section', 'base_version' and 'content'"));
        return;
    }
    config_edit edit;
    edit.id = fields["id"].asString();
    edit.author = fields["author"].asString();
    edit.section = fields["section"].asString();
    edit.base_version = fields["base_version"].asUInt64();
    edit.content = fields["content"].asString();
    follower.submit_edit(edit, [done = std::move(done)](result<edit_outcome> outcome) {
        if (!outcome) {
            done(outcome.error());
            return;
        }
        done(format_outcome(outcome.value()));
    });
}

} // namespace cactusloom
