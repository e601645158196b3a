#pragma once

#include "base/result.h"
#include "dispatch/job_service.h"

#include <string>
#include <string_view>

namespace cactusloom {

struct deployment;

// True for a string of the form "<prefix>.<suffix>" of letters, digits, '-', '_', '~' and '.'.
bool is_submission_id(std::string_view text);

// Parses the body of a submission: {"id", "customer", "kind", "deadline_ms"} and either "payload"
// (`single`, one request) or "tasks" (a job). The default deadline is that of the kind.
// Errors: `invalid_argument`, `limit_exceeded`.
result<submission_request> parse_submission(std::string_view body, bool single,
                                            const deployment& settings);

// JSON bodies of replies. Each has "state" and "reason".
std::string format_answer(std::string_view id, const job_answer& answer, bool single);
std::string format_status(std::string_view id, const job_status& status);
std::string format_refusal(std::string_view id, const error& reason);

// State that a rejection proves: "failed_not_run" only if no task can have run.
job_state state_of_refusal(errc code);

// HTTP status of a rejection.
unsigned http_status_of(errc code);

} // namespace cactusloom
