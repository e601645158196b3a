#include "base/error.h"

namespace cactusloom {

const char* to_string(errc code)
{
    switch (code) {
    case errc::invalid_argument:
        return "invalid_argument";
    case errc::not_found:
        return "not_found";
    case errc::conflict:
        return "conflict";
    case errc::unavailable:
        return "unavailable";
    case errc::reply_lost:
        return "reply_lost";
    case errc::limit_exceeded:
        return "limit_exceeded";
    case errc::timed_out:
        return "timed_out";
    case errc::not_ready:
        return "not_ready";
    case errc::internal:
        return "internal";
    }
    return "internal";
}

} // namespace cactusloom
