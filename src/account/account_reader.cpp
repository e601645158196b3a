#include "account/account_reader.h"

#include <memory>
#include <utility>

namespace cactusloom {
namespace {

// Bounds the memory of a page: a batch is at most a few hundred KiB.
constexpr std::size_t page_records = 64;

struct account_read {
    log_service& log;
    const clock& time;
    account_statement_builder builder;
    std::function<void(result<account_statement>)> done;
    log_offset end_offset = 0;
    bool has_end_offset = false;
};

void finish(account_read& run)
{
    run.done(std::move(run.builder).finish(run.time.wall_now()));
}

void read_page(const std::shared_ptr<account_read>& run)
{
    run->log.read(account_stream, run->builder.next_offset(), page_records,
                  [run](const result<log_page>& read) {
                      if (!read) {
                          run->builder.note_log_not_read(read.error().message,
                                                         run->time.wall_now());
                          finish(*run);
                          return;
                      }
                      const auto& page = read.value();
                      if (!run->has_end_offset) {
                          run->end_offset = page.end;
                          run->has_end_offset = true;
                      }
                      for (const auto& record : page.records) {
                          run->builder.add(record);
                      }
                      if (page.records.empty() || run->builder.next_offset() >= run->end_offset) {
                          run->builder.note_log_end(
                              page.records.empty() ? page.end : run->builder.next_offset(),
                              run->time.wall_now());
                          finish(*run);
                          return;
                      }
                      read_page(run);
                  });
}

} // namespace

void read_account(log_service& log, const clock& time, const account_archive* archive,
                  std::string customer, std::function<void(result<account_statement>)> done)
{
    auto run = std::make_shared<account_read>(account_read{
        log, time, account_statement_builder(std::move(customer)), std::move(done), 0, false});
    if (archive != nullptr) {
        const auto read =
            archive->for_each([&](const log_record& record) { run->builder.add(record); });
        if (!read) {
            run->done(read.as_failure());
            return;
        }
    }
    read_page(run);
}

} // namespace cactusloom
