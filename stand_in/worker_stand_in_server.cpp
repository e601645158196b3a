#include "stand_in/worker_stand_in_server.h"

#include "http/worker_codec.h"

namespace cactusloom {
namespace {

constexpr std::string_view tasks_path = "/v1/tasks";

void send_reply(const http_exchange_ptr& exchange, std::string_view encoded_id,
                const start_reply& reply, worker_fault fault)
{
    switch (is_certainly_not_run(reply.status) ? worker_fault::none : fault) {
    case worker_fault::closes:
        exchange->close_without_reply();
        return;
    case worker_fault::replies_garbage:
        exchange->reply(200, "\x01garbage{", "text/plain");
        return;
    case worker_fault::replies_for_other:
        exchange->set_header(worker_header::task_id, "another-task");
        break;
    default:
        exchange->set_header(worker_header::task_id, std::string(encoded_id));
        break;
    }
    exchange->set_header(worker_header::status, to_string(reply.status));
    exchange->set_header(worker_header::load, format_load(reply.load));
    exchange->set_header(worker_header::run_time, std::to_string(reply.run_time.count()));
    exchange->reply(200, reply.payload, "application/octet-stream");
}

} // namespace

result<std::unique_ptr<worker_stand_in_server>>
worker_stand_in_server::listen(const std::string& address, timer_service& timers,
                               std::shared_ptr<worker_stand_in> worker)
{
    std::unique_ptr<worker_stand_in_server> self(new worker_stand_in_server(std::move(worker)));
    auto* raw = self.get();
    auto server = http_server::listen(address, timers, {},
                                      [raw](const http_exchange_ptr& it) { raw->serve(it); });
    if (!server) {
        return server.error();
    }
    self->server_ = std::move(server).value();
    return self;
}

void worker_stand_in_server::serve(const http_exchange_ptr& exchange)
{
    const auto method = exchange->method();
    auto path = exchange->path();
    if (path == tasks_path && method == "POST") {
        serve_start(exchange);
        return;
    }
    constexpr std::string_view lease_suffix = "/lease";
    if (path.starts_with(tasks_path) && path.size() > tasks_path.size() + 1) {
        path.remove_prefix(tasks_path.size() + 1);
        const auto lease = parse_number(exchange->header(worker_header::lease));
        if (method == "DELETE") {
            worker_->stop(path);
            exchange->reply(204, "");
            return;
        }
        if (method == "PUT" && path.ends_with(lease_suffix) && lease && *lease > 0) {
            path.remove_suffix(lease_suffix.size());
            worker_->renew(path, duration{*lease});
            exchange->reply(204, "");
            return;
        }
    }
    exchange->reply(404, "no such resource", "text/plain");
}

void worker_stand_in_server::serve_start(const http_exchange_ptr& exchange)
{
    const std::string encoded_id(exchange->header(worker_header::task_id));
    const auto id = percent_decode(encoded_id);
    const auto kind = percent_decode(exchange->header(worker_header::kind));
    const auto lease = parse_number(exchange->header(worker_header::lease));
    const auto time_left = parse_number(exchange->header(worker_header::time_left));
    if (!id || id->empty() || !kind || !lease || !time_left) {
        exchange->reply(400, "a header of the task is missing or malformed", "text/plain");
        return;
    }
    worker_->start({*id, *kind, exchange->body(), duration{*lease}, duration{*time_left}},
                   [exchange, encoded_id, worker = worker_](const start_reply& reply) {
                       send_reply(exchange, encoded_id, reply, worker->behaviour().fault);
                   });
    // Keeps the connection of an unanswered request open; a destroyed exchange would be answered.
    if (worker_->behaviour().fault == worker_fault::never_replies) {
        silent_.push_back(exchange);
    }
}

} // namespace cactusloom
