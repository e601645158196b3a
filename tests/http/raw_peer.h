#pragma once

#include "http/glib_ptr.h"

#include <functional>
#include <gio/gio.h>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace cactusloom {

// A scripted HTTP server on plain TCP: reads complete requests and reacts to each as the script
// says. Runs on the event loop of the test.
class raw_peer {
public:
    enum class action { reply, close, reset, close_in_head, close_in_body, silence };
    // Chooses the reaction to the n-th request (from 0) to this peer.
    using script = std::function<action(int n, const std::string& request)>;

    explicit raw_peer(script react);
    ~raw_peer();
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    std::string address() const;
    int connections() const { return accepted_; }
    const std::vector<std::string>& requests() const { return requests_; }
    // Number of requests of which at least one byte arrived.
    int requests_begun() const { return requests_begun_; }
    // Resets the connection after this many bytes of a request; 0 reads complete requests.
    void reset_after_bytes(std::size_t n) { reset_after_ = n; }
    // Closes all connections from this side.
    void close_all();
    void set_reply(std::string text) { reply_ = std::move(text); }

private:
    struct connection {
        object_ptr<GSocket> socket;
        GSource* source = nullptr;
        std::string buf;
        bool begun = false;
    };

    void accept_one();
    bool read_some(connection& it);
    bool react(connection& it, const std::string& request);
    static void close(connection& it, bool reset);
    static void send(connection& it, const std::string& text);

    script script_;
    object_ptr<GSocket> listener_;
    GSource* accept_source_ = nullptr;
    std::vector<std::unique_ptr<connection>> open_;
    std::vector<std::string> requests_;
    std::string reply_;
    int accepted_ = 0;
    int requests_begun_ = 0;
    std::size_t reset_after_ = 0;
};

inline std::ostream& operator<<(std::ostream& out, raw_peer::action it)
{
    return out << static_cast<int>(it);
}

} // namespace cactusloom
