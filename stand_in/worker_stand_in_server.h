#pragma once

#include "http/http_server.h"
#include "stand_in/worker_stand_in.h"

#include <memory>
#include <string>
#include <vector>

namespace cactusloom {

// Serves one worker stand-in over HTTP; see docs/platform.md.
class worker_stand_in_server {
public:
    // Port 0 lets the kernel choose. `timers` must outlive the server.
    static result<std::unique_ptr<worker_stand_in_server>>
    listen(const std::string& address, timer_service& timers,
           std::shared_ptr<worker_stand_in> worker);

    std::string address() const { return server_->address(); }
    worker_stand_in& worker() { return *worker_; }

private:
    explicit worker_stand_in_server(std::shared_ptr<worker_stand_in> worker)
        : worker_(std::move(worker))
    {
    }
    void serve(const http_exchange_ptr& exchange);
    void serve_start(const http_exchange_ptr& exchange);

    std::shared_ptr<worker_stand_in> worker_;
    std::vector<http_exchange_ptr> silent_; // held open without a reply
    std::unique_ptr<http_server> server_;
};

} // namespace cactusloom
