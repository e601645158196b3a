#pragma once

#include "base/result.h"
#include "dispatch/job_service.h"

#include <string>
#include <string_view>

namespace cactusloom {

struct deployment;

// True for a text of the form "<prefix>.<suffix>" made of letters, digits, '-', '_', '~' and '.'.
bool is_submission_id(std::string_view text);

// Reads the body of a submission: {"id", "customer", "kind", "deadline_ms"} and either "payload"
// (a single request) or "tasks" (a job). A missing deadline is the default of the kind.
// Errors: `invalid_argument`, `limit_exceeded`.
result<job_request> parse_submission(std::string_view body, bool single,
                                     const deployment& settings);

// JSON texts of replies. Every one has "state" and "reason".
std::string format_answer(std::string_view id, const job_answer& answer, bool single);
std::string format_status(std::string_view id, const job_status& status);
std::string format_refusal(std::string_view id, const error& reason);

// State that a refusal proves. Only certain refusals say "failed_not_run".
job_state state_of_refusal(errc code);

// HTTP status of a refusal.
unsigned http_status_of(errc code);

} // namespace cactusloom
