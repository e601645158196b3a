#pragma once

#include "http/http_server.h"

#include <memory>
#include <string>

namespace cactusloom {

class instance_list;
class log_service;

// Serves a log and an instance list over HTTP; see docs/platform.md.
class platform_stand_in_server {
public:
    // Port 0 lets the kernel choose. All arguments must outlive the server.
    static result<std::unique_ptr<platform_stand_in_server>> listen(const std::string& address,
                                                                    timer_service& timers,
                                                                    log_service& log,
                                                                    instance_list& instances);

    std::string address() const { return server_->address(); }

private:
    platform_stand_in_server(log_service& log, instance_list& instances)
        : log_(log), instances_(instances)
    {
    }
    void serve(const http_exchange_ptr& exchange);
    void serve_stream(const http_exchange_ptr& exchange, std::string_view stream);

    log_service& log_;
    instance_list& instances_;
    std::unique_ptr<http_server> server_;
};

} // namespace cactusloom
