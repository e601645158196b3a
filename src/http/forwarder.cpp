#include "http/forwarder.h"

#include "http/caller_codec.h"
#include "http/worker_codec.h"

#include <fmt/format.h>

namespace cactusloom {
namespace {

constexpr const char* forwarded_header = "Cactusloom-Forwarded-By";
constexpr const char* prefix_header = "Cactusloom-Id-Prefix";

// The longest deadline, the owner's answer grace period and two network hops.
constexpr duration reply_limit = std::chrono::seconds{64};

// Rebuilds path and query. Submission ids need no percent-encoding.
std::string make_target(const http_exchange& exchange)
{
    const std::string query = exchange.raw_query();
    return query.empty() ? std::string(exchange.path())
                         : fmt::format("{}?{}", exchange.path(), query);
}

} // namespace

forwarder::forwarder(timer_service& timers, std::string own_name, find_owner find,
                     prefix_source prefix)
    : client_(timers, {}), own_name_(std::move(own_name)), find_(std::move(find)),
      prefix_(std::move(prefix))
{
}

bool forwarder::forward(const http_exchange_ptr& exchange, std::string_view id)
{
    const submission_location owner = find_(id);
    // Malformed ids are left to the dispatcher, which rejects them; no instance can have accepted
    // one.
    if (owner.place == submission_place::local || owner.place == submission_place::malformed) {
        return false;
    }
    const bool was_forwarded = !exchange->header(forwarded_header).empty();
    if (owner.place != submission_place::remote || was_forwarded) {
        ++counts_.owner_gone;
        exchange->set_header(prefix_header, prefix_());
        exchange->reply(
            404, format_refusal(id, {errc::not_found,
                                     was_forwarded ? "the request was forwarded to an instance "
                                                     "that does not own the id"
                                                   : owner.reason}));
        return true;
    }
    ++counts_.forwarded;
    http_call call;
    call.method = exchange->method();
    call.address = owner.address;
    call.target = make_target(*exchange);
    call.headers = {{forwarded_header, percent_encode(own_name_)}};
    call.body = exchange->body();
    call.limit = reply_limit;
    client_.send(call, [this, exchange, id = std::string(id)](const http_reply& reply) {
        exchange->set_header(prefix_header, prefix_());
        if (reply.end == http_outcome::replied) {
            exchange->reply(reply.status, reply.body);
            return;
        }
        // An earlier request with this id may have reached the owner, so even a request that was
        // not sent proves nothing.
        ++counts_.owner_silent;
        exchange->reply(404, format_refusal(id, {errc::not_found,
                                                 "the instance that owns the id is not reached: " +
                                                     reply.reason}));
    });
    return true;
}

} // namespace cactusloom
