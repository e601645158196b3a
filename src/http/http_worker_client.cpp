#include "http/http_worker_client.h"

#include "config/deployment.h"
#include "http/worker_codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {
namespace {

// A worker may reply slightly after the deadline; after this time the connection is closed.
constexpr duration reply_grace = std::chrono::seconds{1};
constexpr duration control_limit = std::chrono::seconds{2};

http_client_options to_options(const std::vector<worker_settings>& workers)
{
    http_client_options options;
    std::size_t total = 0;
    std::uint32_t most = 0;
    for (const auto& it : workers) {
        total += it.max_connections;
        most = std::max(most, it.max_connections);
    }
    // Leaves file descriptors of the process for callers.
    options.max_connections = std::clamp<std::size_t>(total, 64, 16384);
    options.max_connections_per_address = most > 0 ? most : 64;
    return options;
}

// Reads a worker's reply to a start. A reply that violates the protocol proves nothing and counts
// as lost.
start_reply read_reply(const http_reply& reply, std::string_view encoded_id)
{
    start_reply found;
    if (reply.end != http_outcome::replied) {
        found.status =
            reply.end == http_outcome::not_sent ? start_status::not_sent : start_status::reply_lost;
        found.payload = reply.reason;
        return found;
    }
    if (const auto load = parse_load(reply.header(worker_header::load))) {
        found.load = *load;
        found.has_load = true;
    }
    const auto status = parse_start_status(reply.header(worker_header::status));
    if (!status || reply.status != 200) {
        found.payload = "the worker's reply does not follow the protocol";
        return found;
    }
    if (reply.header(worker_header::task_id) != encoded_id) {
        found.payload = "the worker replied for another task";
        return found;
    }
    found.status = *status;
    found.payload = reply.body;
    found.run_time = duration{parse_number(reply.header(worker_header::run_time)).value_or(0)};
    return found;
}

} // namespace

http_worker_client::http_worker_client(timer_service& timers,
                                       const std::vector<worker_settings>& workers)
    : client_(timers, to_options(workers))
{
    set_workers(workers);
}

void http_worker_client::set_workers(const std::vector<worker_settings>& workers)
{
    addresses_.clear();
    for (const auto& it : workers) {
        addresses_.push_back(it.address);
    }
}

void http_worker_client::start(worker_id worker, const start_request& request, callback done)
{
    http_call call;
    const std::string encoded_id = percent_encode(request.task_id);
    call.method = "POST";
    call.address = worker < addresses_.size() ? addresses_[worker] : "";
    call.target = "/v1/tasks";
    call.headers = {
        {worker_header::task_id, encoded_id},
        {worker_header::kind, percent_encode(request.kind)},
        {worker_header::lease, std::to_string(request.lease.count())},
        {worker_header::time_left, std::to_string(request.time_left.count())},
    };
    call.body = request.payload;
    call.limit = request.time_left + reply_grace;
    client_.send(call, [encoded_id, done = std::move(done)](const http_reply& reply) {
        done(read_reply(reply, encoded_id));
    });
}

void http_worker_client::renew(worker_id worker, std::string_view task_id, duration lease)
{
    if (worker >= addresses_.size()) {
        return;
    }
    http_call call;
    call.method = "PUT";
    call.address = addresses_[worker];
    call.target = fmt::format("/v1/tasks/{}/lease", percent_encode(task_id));
    call.headers = {{worker_header::lease, std::to_string(lease.count())}};
    call.limit = control_limit;
    client_.send(call, [](const http_reply&) {});
}

void http_worker_client::stop(worker_id worker, std::string_view task_id)
{
    if (worker >= addresses_.size()) {
        return;
    }
    http_call call;
    call.method = "DELETE";
    call.address = addresses_[worker];
    call.target = fmt::format("/v1/tasks/{}", percent_encode(task_id));
    call.limit = control_limit;
    client_.send(call, [](const http_reply&) {});
}

} // namespace cactusloom
