#pragma once

#include "account/account_archive.h"
#include "account/account_statement.h"
#include "base/clock.h"
#include "platform/log_service.h"

#include <functional>
#include <string>

namespace cactusloom {

// Reads the account of one customer: first the archive if there is one (it may be null), then the
// log, page by page, up to the end that the log had at the first page. A log that cannot be read
// is reported as a gap, so that the archived part is still returned. Error `not_found` only if the
// archive's file cannot be read. Log, clock and archive must stay valid until `done` runs.
void read_account(log_service& log, const clock& time, const account_archive* archive,
                  std::string customer, std::function<void(result<account_statement>)> done);

} // namespace cactusloom
