#include "http/http_client.h"

#include "http/glib_ptr.h"

#include <fmt/format.h>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <unordered_set>
#include <utility>

namespace cactusloom {

namespace {
struct open_call;
} // namespace

struct http_client::state {
    timer_service* timers = nullptr; // null after the client is destroyed
    object_ptr<SoupSession> session;
    std::unordered_set<open_call*> calls;
};

namespace {

struct open_call {
    std::shared_ptr<http_client::state> owner;
    object_ptr<SoupMessage> message;
    object_ptr<GCancellable> cancellable;
    http_client::callback done;
    timer_id limit_timer = 0;
    bool started = false; // a byte may have been sent
    bool timed_out = false;
};

// libsoup resends an idempotent request when a keep-alive connection breaks. A start must not be
// sent twice, so the resend is cancelled before libsoup picks a connection.
void cancel_resend(SoupMessage* /*message*/, gpointer data)
{
    g_cancellable_cancel(static_cast<open_call*>(data)->cancellable.get());
}

void mark_started(SoupMessage* /*message*/, gpointer data)
{
    static_cast<open_call*>(data)->started = true;
}

void finish(GObject* source, GAsyncResult* outcome, gpointer data)
{
    const std::unique_ptr<open_call> call(static_cast<open_call*>(data));
    glib_error ec;
    GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), outcome, ec.out());
    call->owner->calls.erase(call.get());
    if (call->owner->timers != nullptr) {
        call->owner->timers->cancel(call->limit_timer);
    }
    g_signal_handlers_disconnect_by_data(call->message.get(), call.get());
    http_reply reply;
    if (bytes != nullptr && !ec) {
        gsize size = 0;
        const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        reply.end = http_outcome::replied;
        reply.status = soup_message_get_status(call->message.get());
        reply.body.assign(text == nullptr ? "" : text, size);
    }
    else {
        reply.end = call->started ? http_outcome::reply_lost : http_outcome::not_sent;
        reply.timed_out = call->timed_out;
        reply.reason = call->timed_out ? "no reply within the limit" : ec.message();
    }
    reply.header = [&call](const char* name) -> std::string {
        const char* value = soup_message_headers_get_one(
            soup_message_get_response_headers(call->message.get()), name);
        return value == nullptr ? "" : value;
    };
    if (bytes != nullptr) {
        g_bytes_unref(bytes);
    }
    if (call->owner->timers != nullptr) {
        call->done(reply);
    }
}

// Returns null if the address is not valid.
SoupMessage* make_message(const http_call& call)
{
    const std::string text = fmt::format("http://{}{}", call.address, call.target);
    GUri* uri = g_uri_parse(text.c_str(), static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS), nullptr);
    if (uri == nullptr) {
        return nullptr;
    }
    SoupMessage* message = nullptr;
    if (const char* host = g_uri_get_host(uri); host != nullptr && *host != '\0') {
        message = soup_message_new_from_uri(call.method.c_str(), uri);
    }
    g_uri_unref(uri);
    return message;
}

} // namespace

http_client::http_client(timer_service& timers, http_client_options options)
    : state_(std::make_shared<state>())
{
    state_->timers = &timers;
    state_->session.reset(soup_session_new_with_options(
        "max-conns", static_cast<int>(options.max_connections), "max-conns-per-host",
        static_cast<int>(options.max_connections_per_address), "timeout", 0U, "idle-timeout", 30U,
        "user-agent", "cactusloom", nullptr));
    // The peers are known IP addresses: no proxies and no decoding of replies.
    soup_session_set_proxy_resolver(state_->session.get(), nullptr);
    soup_session_remove_feature_by_type(state_->session.get(), SOUP_TYPE_CONTENT_DECODER);
}

http_client::~http_client()
{
    // libsoup completes the calls in a later loop iteration, when the timers may be destroyed.
    for (const auto* it : state_->calls) {
        state_->timers->cancel(it->limit_timer);
    }
    state_->timers = nullptr;
    soup_session_abort(state_->session.get());
}

void http_client::send(const http_call& call, callback done)
{
    auto open = std::make_unique<open_call>();
    open->owner = state_;
    open->done = std::move(done);
    open->message.reset(make_message(call));
    if (!open->message) {
        state_->timers->schedule(duration::zero(),
                                 [open = std::shared_ptr<open_call>(std::move(open))] {
                                     http_reply reply;
                                     reply.end = http_outcome::not_sent;
                                     reply.reason = "not a valid address";
                                     reply.header = [](const char*) { return std::string{}; };
                                     if (open->owner->timers != nullptr) {
                                         open->done(reply);
                                     }
                                 });
        return;
    }
    SoupMessage* message = open->message.get();
    // libsoup reuses keep-alive connections only for messages marked idempotent.
    soup_message_add_flags(message, call.fresh_connection ? SOUP_MESSAGE_NEW_CONNECTION
                                                          : SOUP_MESSAGE_IDEMPOTENT);
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    for (const auto& [name, value] : call.headers) {
        soup_message_headers_replace(soup_message_get_request_headers(message), name.c_str(),
                                     value.c_str());
    }
    if (!call.body.empty() || call.method == "POST") {
        GBytes* bytes = g_bytes_new(call.body.data(), call.body.size());
        soup_message_set_request_body_from_bytes(message, "application/json", bytes);
        g_bytes_unref(bytes);
    }
    open->cancellable.reset(g_cancellable_new());
    g_signal_connect(message, "starting", G_CALLBACK(mark_started), open.get());
    g_signal_connect(message, "restarted", G_CALLBACK(cancel_resend), open.get());
    auto* raw = open.release();
    state_->calls.insert(raw);
    raw->limit_timer = state_->timers->schedule(call.limit, [raw] {
        raw->timed_out = true;
        g_cancellable_cancel(raw->cancellable.get());
    });
    soup_session_send_and_read_async(state_->session.get(), message, G_PRIORITY_DEFAULT,
                                     raw->cancellable.get(), finish, raw);
}

} // namespace cactusloom
