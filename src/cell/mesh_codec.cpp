#include "cell/mesh_codec.h"

namespace cactusloom {

namespace {

// A field of a message from another version may have another type; it then counts as absent.
std::string text_of(const Json::Value& value)
{
    return value.isString() ? value.asString() : std::string();
}

std::int64_t number_of(const Json::Value& value)
{
    return value.isInt64() ? value.asInt64() : 0;
}

double real_of(const Json::Value& value)
{
    return value.isNumeric() ? value.asDouble() : 0;
}

duration duration_of(const Json::Value& value)
{
    return duration{number_of(value)};
}

Json::Int64 to_json(duration value)
{
    return value.count();
}

Json::Value encode_workers(const worker_set& workers)
{
    Json::Value out(Json::arrayValue);
    for (const auto it : workers) {
        out.append(Json::UInt{it});
    }
    return out;
}

worker_set decode_workers(const Json::Value& value)
{
    worker_set out;
    for (const auto& it : value) {
        out.insert(it.asUInt());
    }
    return out;
}

} // namespace

Json::Value encode_instance(const instance_address& it)
{
    Json::Value out;
    out["name"] = it.name;
    out["address"] = it.address;
    out["data_centre"] = it.data_centre;
    out["strength"] = it.cpu_share;
    out["incarnation"] = Json::Int64{it.incarnation};
    return out;
}

instance_address decode_instance(const Json::Value& value)
{
    if (!value.isObject()) {
        return {};
    }
    return {text_of(value["name"]), text_of(value["address"]), text_of(value["data_centre"]),
            real_of(value["strength"]), number_of(value["incarnation"])};
}

Json::Value encode_instances(const std::vector<instance_address>& instances)
{
    Json::Value out(Json::arrayValue);
    for (const auto& it : instances) {
        out.append(encode_instance(it));
    }
    return out;
}

std::vector<instance_address> decode_instances(const Json::Value& value)
{
    std::vector<instance_address> out;
    for (const auto& it : value) {
        out.push_back(decode_instance(it));
    }
    return out;
}

Json::Value encode_claims(const std::vector<cell_claim>& claims)
{
    Json::Value out(Json::arrayValue);
    for (const auto& it : claims) {
        Json::Value row;
        row["cell"] = it.cell;
        row["token"] = Json::UInt64{it.token};
        row["workers"] = encode_workers(it.workers.get());
        out.append(row);
    }
    return out;
}

std::vector<cell_claim> decode_claims(const Json::Value& value)
{
    std::vector<cell_claim> out;
    for (const auto& it : value) {
        out.push_back({text_of(it["cell"]), static_cast<std::uint64_t>(number_of(it["token"])),
                       decode_workers(it["workers"])});
    }
    return out;
}

Json::Value encode_job(const job_request& job)
{
    Json::Value out;
    out["id"] = job.id;
    out["payload"] = job.payload;
    out["queue"] = job.terms.queue;
    out["service"] = job.terms.service;
    out["priority"] = job.terms.priority;
    out["attempts"] = job.terms.attempts;
    out["stretch"] = job.terms.stretch;
    out["target_latency"] = to_json(job.terms.target_latency);
    out["time_left"] = to_json(job.time_left);
    out["age"] = to_json(job.age);
    out["run_base"] = job.run_base;
    out["resumed"] = job.resumed;
    if (job.resumed) {
        out["former_workers"] = encode_workers(job.former_workers);
    }
    for (const auto& it : job.steps) {
        Json::Value step;
        step["count"] = it.count;
        step["cpu"] = Json::Int64{it.demand.cpu_millis};
        step["memory"] = Json::Int64{it.demand.memory_mb};
        step["gpus"] = Json::Int64{it.demand.gpus};
        step["estimate"] = to_json(it.estimate);
        for (const auto after : it.after) {
            step["after"].append(after);
        }
        if (!it.required_label.empty()) {
            step["label"] = it.required_label;
        }
        if (!it.data_rack.empty()) {
            step["rack"] = it.data_rack;
        }
        if (it.max_per_worker != 0) {
            step["max_per_worker"] = it.max_per_worker;
        }
        out["steps"].append(step);
    }
    return out;
}

job_request decode_job(const Json::Value& value)
{
    job_request job;
    job.id = text_of(value["id"]);
    job.payload = text_of(value["payload"]);
    job.terms.queue = text_of(value["queue"]);
    job.terms.service = text_of(value["service"]);
    job.terms.priority = static_cast<int>(number_of(value["priority"]));
    job.terms.attempts = static_cast<std::uint32_t>(number_of(value["attempts"]));
    job.terms.stretch = real_of(value["stretch"]);
    job.terms.target_latency = duration_of(value["target_latency"]);
    job.time_left = duration_of(value["time_left"]);
    job.age = duration_of(value["age"]);
    job.run_base = static_cast<std::uint32_t>(number_of(value["run_base"]));
    job.resumed = value["resumed"].isBool() && value["resumed"].asBool();
    job.former_workers = decode_workers(value["former_workers"]);
    for (const auto& it : value["steps"]) {
        job_step step;
        step.count = static_cast<std::uint32_t>(number_of(it["count"]));
        step.demand = {number_of(it["cpu"]), number_of(it["memory"]), number_of(it["gpus"])};
        step.estimate = duration_of(it["estimate"]);
        for (const auto& after : it["after"]) {
            step.after.push_back(static_cast<std::uint32_t>(number_of(after)));
        }
        step.required_label = text_of(it["label"]);
        step.data_rack = text_of(it["rack"]);
        step.max_per_worker = static_cast<std::uint32_t>(number_of(it["max_per_worker"]));
        job.steps.push_back(std::move(step));
    }
    return job;
}

Json::Value encode_outcome(const job_outcome& outcome)
{
    Json::Value out;
    out["end"] = static_cast<int>(outcome.end);
    out["retry_after"] = to_json(outcome.retry_after);
    return out;
}

job_outcome decode_outcome(const Json::Value& value)
{
    job_outcome out;
    const auto end = number_of(value["end"]);
    if (value["end"].isInt() && end >= 0 && end <= static_cast<int>(job_end::moved)) {
        out.end = static_cast<job_end>(end);
    }
    out.retry_after = duration_of(value["retry_after"]);
    out.reason = "told by the controller";
    return out;
}

Json::Value encode_loss(const worker_loss& loss)
{
    Json::Value out;
    out["task"] = loss.task;
    out["worker"] = loss.worker;
    out["started_at"] = Json::Int64{loss.started_at_ms};
    out["sole_suspect"] = loss.sole_suspect;
    out["crashed"] = loss.crashed;
    return out;
}

worker_loss decode_loss(const Json::Value& value)
{
    const auto flag_of = [&value](const char* name) {
        return value[name].isBool() && value[name].asBool();
    };
    return {text_of(value["task"]), text_of(value["worker"]), number_of(value["started_at"]),
            flag_of("sole_suspect"), flag_of("crashed")};
}

} // namespace cactusloom
