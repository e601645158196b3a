#include "http/http_instance_list.h"

#include "http/platform_codec.h"

namespace cactusloom {
namespace {

constexpr duration reply_limit = std::chrono::seconds{5};

} // namespace

http_instance_list::http_instance_list(timer_service& timers, std::string address)
    : client_(timers, {}), address_(std::move(address))
{
}

void http_instance_list::fetch(callback done)
{
    http_call call;
    call.address = address_;
    call.target = "/v1/instances";
    call.limit = reply_limit;
    client_.send(call, [done = std::move(done)](const http_reply& reply) {
        if (reply.end != http_outcome::replied) {
            done(failure(errc::unavailable, "no reply from the instance list: " + reply.reason));
            return;
        }
        if (reply.status != 200) {
            done(parse_platform_error(reply.body));
            return;
        }
        done(parse_instances(reply.body));
    });
}

} // namespace cactusloom
