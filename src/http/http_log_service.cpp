#include "http/http_log_service.h"

#include "http/platform_codec.h"
#include "http/worker_codec.h"

#include <fmt/format.h>

namespace cactusloom {
namespace {

// A reply that takes longer counts as lost. A healthy log takes several milliseconds.
constexpr duration reply_limit = std::chrono::seconds{5};

// Errors defined by the protocol keep their code. In all other cases the record may be stored.
error to_append_error(const http_reply& reply)
{
    if (reply.end == http_outcome::not_sent) {
        return {errc::unavailable, "log not reached: " + reply.reason};
    }
    if (reply.end == http_outcome::reply_lost) {
        return {errc::reply_lost, "no reply from the log: " + reply.reason};
    }
    auto found = parse_platform_error(reply.body);
    if (reply.status < 400 || found.code == errc::internal) {
        found.code = errc::reply_lost;
    }
    return found;
}

} // namespace

http_log_service::http_log_service(timer_service& timers, std::string address)
    : client_(timers, {}), address_(std::move(address))
{
}

void http_log_service::append(std::string_view stream, std::string content, append_callback done)
{
    http_call call;
    call.method = "POST";
    call.address = address_;
    call.target = fmt::format("/v1/streams/{}/records", percent_encode(stream));
    call.body = std::move(content);
    call.limit = reply_limit;
    client_.send(call, [done = std::move(done)](const http_reply& reply) {
        if (reply.end == http_outcome::replied && reply.status == 200) {
            if (const auto offset = parse_offset(reply.body)) {
                done(offset.value());
                return;
            }
        }
        done(to_append_error(reply));
    });
}

void http_log_service::read(std::string_view stream, log_offset from, std::size_t max_records,
                            read_callback done)
{
    http_call call;
    call.address = address_;
    call.target = fmt::format("/v1/streams/{}/records?from={}&max={}", percent_encode(stream), from,
                              max_records);
    call.limit = reply_limit;
    client_.send(call, [done = std::move(done)](const http_reply& reply) {
        if (reply.end != http_outcome::replied) {
            done(failure(errc::unavailable, "no reply from the log: " + reply.reason));
            return;
        }
        if (reply.status != 200) {
            done(parse_platform_error(reply.body));
            return;
        }
        done(parse_page(reply.body));
    });
}

} // namespace cactusloom
