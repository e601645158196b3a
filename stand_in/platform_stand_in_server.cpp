#include "stand_in/platform_stand_in_server.h"

#include "http/platform_codec.h"
#include "http/worker_codec.h"

namespace cactusloom {
namespace {

void reply_error(const http_exchange_ptr& exchange, const error& reason)
{
    // A lost reply appears to the caller as with the real service: as a closed connection.
    if (reason.code == errc::reply_lost) {
        exchange->close_without_reply();
        return;
    }
    const unsigned status = reason.code == errc::unavailable ? 503 : 400;
    exchange->reply(status, format_platform_error(reason));
}

} // namespace

result<std::unique_ptr<platform_stand_in_server>>
platform_stand_in_server::listen(const std::string& address, timer_service& timers,
                                 log_service& log, instance_list& instances)
{
    std::unique_ptr<platform_stand_in_server> self(new platform_stand_in_server(log, instances));
    auto* raw = self.get();
    auto server = http_server::listen(address, timers, {},
                                      [raw](const http_exchange_ptr& it) { raw->serve(it); });
    if (!server) {
        return server.error();
    }
    self->server_ = std::move(server).value();
    return self;
}

void platform_stand_in_server::serve(const http_exchange_ptr& exchange)
{
    constexpr std::string_view streams_path = "/v1/streams/";
    constexpr std::string_view records_suffix = "/records";
    auto path = exchange->path();
    if (path == "/v1/instances" && exchange->method() == "GET") {
        instances_.fetch([exchange](const result<std::vector<listed_instance>>& found) {
            if (found) {
                exchange->reply(200, format_instances(found.value()));
            }
            else {
                reply_error(exchange, found.error());
            }
        });
        return;
    }
    if (path.starts_with(streams_path) && path.ends_with(records_suffix) &&
        path.size() > streams_path.size() + records_suffix.size()) {
        path.remove_prefix(streams_path.size());
        path.remove_suffix(records_suffix.size());
        serve_stream(exchange, path);
        return;
    }
    exchange->reply(404, format_platform_error({errc::not_found, "no such resource"}));
}

void platform_stand_in_server::serve_stream(const http_exchange_ptr& exchange,
                                            std::string_view stream)
{
    if (exchange->method() == "POST") {
        log_.append(stream, std::string(exchange->body()),
                    [exchange](const result<log_offset>& offset) {
                        if (offset) {
                            exchange->reply(200, format_offset(offset.value()));
                        }
                        else {
                            reply_error(exchange, offset.error());
                        }
                    });
        return;
    }
    const auto from = parse_number(exchange->query("from"));
    const auto max = parse_number(exchange->query("max"));
    if (exchange->method() != "GET" || !from || *from < 0 || !max || *max < 0) {
        exchange->reply(400, format_platform_error({errc::invalid_argument, "not a valid read"}));
        return;
    }
    log_.read(stream, static_cast<log_offset>(*from), static_cast<std::size_t>(*max),
              [exchange](const result<log_page>& page) {
                  if (page) {
                      exchange->reply(200, format_page(page.value()));
                  }
                  else {
                      reply_error(exchange, page.error());
                  }
              });
}

} // namespace cactusloom
