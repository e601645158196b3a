#include "cell/mesh_codec.h"

#include "http/json_fields.h"

#include <limits>

namespace cactusloom {

namespace {

// Time spans are written in us.
constexpr duration time_unit{1};
constexpr value_range<std::int64_t> any_time{-(std::int64_t{1} << 50), std::int64_t{1} << 50};

duration time_of(json_fields& in, const char* name)
{
    return in.integer(name, any_time) * time_unit;
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
        if (it.isUInt()) {
            out.insert(it.asUInt());
        }
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
    constexpr double max_cpu_share = 1e6;
    json_fields in(value);
    instance_address out;
    out.name = in.text("name");
    out.address = in.text("address");
    out.data_centre = in.text("data_centre");
    out.cpu_share = in.real("strength", {0, max_cpu_share});
    out.incarnation = in.integer("incarnation", any_time);
    return out;
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
        json_fields in(it);
        const auto cell = in.text("cell");
        out.push_back({cell, in.number("token"), decode_workers(in.array("workers"))});
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
    constexpr value_range<std::int64_t> any_priority{std::numeric_limits<int>::min(),
                                                     std::numeric_limits<int>::max()};
    constexpr double max_stretch = 1e6;
    json_fields in(value);
    job_request job;
    job.id = in.text("id");
    job.payload = in.text("payload");
    job.terms.queue = in.text("queue");
    job.terms.service = in.text("service");
    job.terms.priority = static_cast<int>(in.integer("priority", any_priority));
    job.terms.attempts = in.count("attempts");
    job.terms.stretch = in.real("stretch", {0, max_stretch});
    job.terms.target_latency = time_of(in, "target_latency");
    job.time_left = time_of(in, "time_left");
    job.age = time_of(in, "age");
    job.run_base = in.count("run_base");
    job.resumed = in.flag("resumed");
    job.former_workers = decode_workers(in.array("former_workers"));
    for (const auto& it : in.array("steps")) {
        json_fields fields(it);
        job_step step;
        step.count = fields.count("count");
        step.demand = {fields.integer("cpu", any_amount), fields.integer("memory", any_amount),
                       fields.integer("gpus", any_amount)};
        step.estimate = time_of(fields, "estimate");
        for (const auto& after : fields.array("after")) {
            step.after.push_back(static_cast<std::uint32_t>(
                integer_of(after, {0, std::numeric_limits<std::uint32_t>::max()},
                           std::numeric_limits<std::uint32_t>::max())));
        }
        step.required_label = fields.text("label");
        step.data_rack = fields.text("rack");
        step.max_per_worker = fields.count("max_per_worker");
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
    json_fields in(value);
    job_outcome out;
    out.end = static_cast<job_end>(
        in.integer("end", {0, static_cast<int>(job_end::moved)}, static_cast<int>(out.end)));
    out.retry_after = time_of(in, "retry_after");
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
    json_fields in(value);
    worker_loss out;
    out.task = in.text("task");
    out.worker = in.text("worker");
    out.started_at_ms = in.integer("started_at", any_time);
    out.sole_suspect = in.flag("sole_suspect");
    out.crashed = in.flag("crashed");
    return out;
}

} // namespace cactusloom
