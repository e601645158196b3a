#include "account/account_archive.h"

#include "account/account_archive_codec.h"
#include "account/account_record.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace cactusloom {
namespace {

// Records of one page are synced together; a batch is at most a few hundred KiB.
constexpr std::size_t page_records = 64;

std::string describe(const std::string& path, const char* action)
{
    return fmt::format("{} {}: {}", action, path, std::strerror(errno));
}

struct export_run {
    log_service& log;
    account_archive& archive;
    std::function<void(result<account_export>)> done;
    account_export report;
    log_offset end_offset = 0;
    bool has_end_offset = false;
};

void export_page(const std::shared_ptr<export_run>& run)
{
    const auto from = run->archive.next_offset();
    run->log.read(account_stream, from, page_records, [run, from](const result<log_page>& read) {
        if (!read) {
            run->done(read.as_failure());
            return;
        }
        const auto& page = read.value();
        if (page.end < from) {
            run->done(failure(errc::conflict,
                              fmt::format("log ends at {}, archive at {}", page.end, from)));
            return;
        }
        if (!run->has_end_offset) {
            run->end_offset = page.end;
            run->has_end_offset = true;
        }
        auto expected = from;
        for (const auto& record : page.records) {
            run->report.missed += record.offset - expected;
            expected = record.offset + 1;
            if (const auto added = run->archive.append(record); !added) {
                run->done(added.as_failure());
                return;
            }
            ++run->report.exported;
        }
        if (const auto synced = run->archive.sync(); !synced) {
            run->done(synced.as_failure());
            return;
        }
        run->report.reached = run->archive.next_offset();
        if (page.records.empty() || expected >= run->end_offset) {
            run->done(run->report);
            return;
        }
        export_page(run);
    });
}

} // namespace

account_archive::account_archive(std::string path, int file) : path_(std::move(path)), file_(file)
{
}

account_archive::~account_archive()
{
    if (file_ >= 0) {
        ::close(file_);
    }
}

result<std::unique_ptr<account_archive>> account_archive::open(const std::string& path, mode how)
{
    int file = -1;
    if (how == mode::append) {
        file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
        if (file < 0) {
            return failure(errc::unavailable, describe(path, "cannot open"));
        }
        if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
            auto problem = describe(path, "cannot lock");
            ::close(file);
            return failure(errc::conflict, std::move(problem));
        }
    }
    std::unique_ptr<account_archive> archive(new account_archive(path, file));
    if (const auto scanned = archive->scan(); !scanned) {
        return scanned.as_failure();
    }
    return archive;
}

result<void> account_archive::scan()
{
    std::ifstream in(path_, std::ios::binary);
    if (!in) {
        return failure(errc::not_found, describe(path_, "cannot read"));
    }
    std::string line;
    while (std::getline(in, line)) {
        const auto record = decode_archive_line(line);
        if (record && record.value().offset >= next_offset_) {
            next_offset_ = record.value().offset + 1;
        }
        damaged_lines_ += record ? 0 : 1;
        if (in.eof()) {
            // The last line is truncated, so the next record starts on a new line.
            pending_ = "\n";
        }
    }
    return boost::outcome_v2::success();
}

result<void> account_archive::append(const log_record& record)
{
    if (file_ < 0) {
        return failure(errc::invalid_argument, "archive is open for reading only");
    }
    if (record.offset < next_offset_) {
        return failure(errc::invalid_argument, "record is archived already");
    }
    pending_ += encode_archive_line(record);
    pending_ += '\n';
    next_offset_ = record.offset + 1;
    return boost::outcome_v2::success();
}

result<void> account_archive::sync()
{
    std::string_view rest = pending_;
    while (!rest.empty()) {
        const auto n = ::write(file_, rest.data(), rest.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return failure(errc::unavailable, describe(path_, "cannot write"));
        }
        rest.remove_prefix(static_cast<std::size_t>(n));
    }
    pending_.clear();
    if (file_ >= 0 && ::fsync(file_) != 0) {
        return failure(errc::unavailable, describe(path_, "cannot sync"));
    }
    return boost::outcome_v2::success();
}

result<void> account_archive::for_each(const std::function<void(const log_record&)>& fn) const
{
    std::ifstream in(path_, std::ios::binary);
    if (!in) {
        return failure(errc::not_found, describe(path_, "cannot read"));
    }
    log_offset next = 0;
    std::string line;
    while (std::getline(in, line)) {
        const auto record = decode_archive_line(line);
        if (record && record.value().offset >= next) {
            next = record.value().offset + 1;
            fn(record.value());
        }
    }
    return boost::outcome_v2::success();
}

void export_account(log_service& log, account_archive& archive,
                    std::function<void(result<account_export>)> done)
{
    export_page(
        std::make_shared<export_run>(export_run{log, archive, std::move(done), {}, 0, false}));
}

} // namespace cactusloom
