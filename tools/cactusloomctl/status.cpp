#include "command.h"

#include <fmt/format.h>

namespace cactusloom::ctl {

int run_status(const options& given)
{
    http_call call;
    call.address = given.address;
    call.target = "/v1/status";
    const auto answer = exchange(call);
    if (answer.end != http_end::replied) {
        fmt::print(stderr, "status: no reply from {}: {}\n", given.address, answer.reason);
        return exit_unreachable;
    }
    print_reply(answer.body, given.json);
    return answer.status == 200 ? exit_ok : exit_failed;
}

} // namespace cactusloom::ctl
