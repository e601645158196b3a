#pragma once

#include <glib-object.h>
#include <memory>

namespace cactusloom {

struct object_unref {
    void operator()(gpointer object) const { g_object_unref(object); }
};

// Owns one reference to a GObject.
template<typename T>
using object_ptr = std::unique_ptr<T, object_unref>;

// Receives a GError and frees it.
class glib_error {
public:
    glib_error() = default;
    glib_error(const glib_error&) = delete;
    glib_error& operator=(const glib_error&) = delete;
    ~glib_error() { g_clear_error(&error_); }

    GError** out() { return &error_; }
    explicit operator bool() const { return error_ != nullptr; }
    bool matches(GQuark domain, int code) const
    {
        return g_error_matches(error_, domain, code) != FALSE;
    }
    const char* message() const { return error_ != nullptr ? error_->message : "no error"; }

private:
    GError* error_ = nullptr;
};

} // namespace cactusloom
