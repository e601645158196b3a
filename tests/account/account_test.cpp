#include "account/fake_log.h"

#include "account/account_reader.h"
#include "account/account_writer.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <optional>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

using cause = account_gap::cause;

// One instance with a writer, its log, and an archive file that is removed at the end.
struct account_fixture {
    virtual_timer_service timers;
    fake_log log{timers};
    std::unique_ptr<account_writer> writer;
    std::string path = fmt::format("account_test_{}.jsonl", ++runs);
    std::unique_ptr<account_archive> archive;
    static inline unsigned runs = 0;

    account_fixture() { start(1); }
    ~account_fixture() { std::remove(path.c_str()); }
    account_fixture(const account_fixture&) = delete;
    account_fixture& operator=(const account_fixture&) = delete;

    void start(std::uint64_t incarnation, std::size_t max_buffer = std::size_t{8} << 20U)
    {
        account_writer_settings settings;
        settings.instance = "i1";
        settings.incarnation = incarnation;
        settings.max_buffer_bytes = max_buffer;
        writer = std::make_unique<account_writer>(log, timers, settings);
        writer->start();
    }

    account_receipt receipt(const std::string& id, const std::string& customer = "amina")
    {
        return {customer, id, "stamp_check", 1, timers.wall_now()};
    }

    account_record end(const std::string& id, const std::string& customer = "amina",
                       account_outcome outcome = account_outcome::completed)
    {
        account_record it;
        it.receipt = receipt(id, customer);
        it.decided = timers.wall_now() + 1ms;
        it.answered = timers.wall_now() + 50ms;
        it.workers = {{"w1", 1}};
        it.outcome = outcome;
        it.configuration_version = 17;
        it.answers = 1;
        return it;
    }

    // Records receipt and end of `n` requests, "<prefix>0" onwards, 100 ms apart.
    void run_requests(unsigned n, const std::string& prefix = "a.",
                      const std::string& customer = "amina")
    {
        for (unsigned i = 0; i < n; ++i) {
            const auto id = prefix + std::to_string(i);
            writer->received(receipt(id, customer));
            writer->ended(end(id, customer));
            timers.advance(100ms);
        }
    }

    void close()
    {
        writer->close(10s, [](const auto&) {});
        timers.advance(11s);
    }

    result<account_export> run_export()
    {
        archive.reset();
        auto opened = account_archive::open(path, account_archive::mode::append);
        BOOST_REQUIRE(opened.has_value());
        archive = std::move(opened).value();
        std::optional<result<account_export>> out;
        export_account(log, *archive, [&](auto done) { out = std::move(done); });
        BOOST_REQUIRE(out.has_value());
        return *out;
    }

    account_statement read(const std::string& customer = "amina")
    {
        std::optional<result<account_statement>> out;
        read_account(log, timers, archive.get(), customer,
                     [&](auto done) { out = std::move(done); });
        BOOST_REQUIRE(out.has_value());
        BOOST_REQUIRE(out->has_value());
        return out->value();
    }
};

std::size_t count(const account_statement& it, cause why)
{
    return static_cast<std::size_t>(std::count_if(it.gaps.begin(), it.gaps.end(),
                                                  [&](const auto& gap) { return gap.why == why; }));
}

const account_gap& gap_of(const account_statement& it, cause why)
{
    const auto found = std::find_if(it.gaps.begin(), it.gaps.end(),
                                    [&](const auto& gap) { return gap.why == why; });
    BOOST_REQUIRE((found != it.gaps.end()));
    return *found;
}

// A fault, the actions that cause it and the checks of the statement of customer "amina".
struct fault_case {
    const char* fault;
    void (*act)(account_fixture&);
    void (*check)(account_fixture&, const account_statement&);
};

const fault_case cases[] = {
    {"none",
     [](account_fixture& it) {
         it.run_requests(20);
         it.close();
     },
     [](account_fixture& it, const account_statement& statement) {
         BOOST_TEST(statement.is_complete());
         BOOST_TEST(statement.records.size() == 20U);
         BOOST_TEST((statement.totals.at({"stamp_check", account_outcome::completed}) == 20U));
         const auto& first = statement.records.front();
         BOOST_TEST((first.workers == std::vector<worker_use>{{"w1", 1}}));
         BOOST_TEST(first.configuration_version == 17U);
         BOOST_TEST((first.answered - first.receipt.received == 50ms));
         // Requests that end within receipt_age need no receipt.
         BOOST_TEST(it.writer->stats().receipts == 0U);
         BOOST_TEST(it.log.max_open_appends == 1U);
     }},
    {"append reply lost, batch repeated",
     [](account_fixture& it) {
         it.log.lose_replies = 3;
         it.run_requests(20);
         it.close();
     },
     [](account_fixture& it, const account_statement& statement) {
         BOOST_TEST(it.writer->stats().appends == it.writer->stats().batches + 3);
         BOOST_TEST(it.log.records.size() == it.writer->stats().appends);
         BOOST_TEST(statement.is_complete());
         BOOST_TEST(statement.records.size() == 20U);
         BOOST_TEST(statement.duplicate_answers.empty());
     }},
    {"a copy of an old batch is stored late",
     [](account_fixture& it) {
         it.run_requests(10);
         it.log.put(it.log.records[1].content);
         it.run_requests(10, "b.");
         it.close();
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(statement.is_complete());
         BOOST_TEST(statement.records.size() == 20U);
         BOOST_TEST(statement.duplicate_answers.empty());
     }},
    {"log down for an hour and back",
     [](account_fixture& it) {
         it.run_requests(10);
         it.log.is_down = true;
         it.run_requests(10, "b.");
         it.timers.advance(1h);
         it.log.is_down = false;
         it.timers.advance(30s);
         it.close();
     },
     [](account_fixture& it, const account_statement& statement) {
         BOOST_TEST(statement.is_complete());
         BOOST_TEST(statement.records.size() == 20U);
         BOOST_TEST(it.writer->buffered_bytes() == 0U);
     }},
    {"buffer overflows while the log is down",
     [](account_fixture& it) {
         it.start(2, 4000);
         it.timers.advance(1s);
         it.log.is_down = true;
         it.run_requests(200);
         BOOST_TEST(it.writer->buffered_bytes() <= 4000U);
         it.log.is_down = false;
         it.timers.advance(30s);
         it.run_requests(1, "after.");
         it.close();
     },
     [](account_fixture& it, const account_statement& statement) {
         const auto& gap = gap_of(statement, cause::dropped_by_writer);
         BOOST_TEST(gap.count == it.writer->stats().dropped);
         BOOST_TEST(gap.count + statement.records.size() == 201U);
         BOOST_TEST((gap.until - gap.from >= 15s));
         BOOST_TEST((gap.until - gap.from <= 20s));
         BOOST_TEST(!statement.is_complete());
         BOOST_TEST(statement.records.back().receipt.submission_id == "after.0");
     }},
    {"log refuses a batch for its size",
     [](account_fixture& it) {
         it.run_requests(5);
         it.log.refuse = 1;
         it.run_requests(5, "b.");
         it.close();
     },
     [](account_fixture& it, const account_statement& statement) {
         BOOST_TEST(gap_of(statement, cause::dropped_by_writer).count + statement.records.size() ==
                    10U);
         BOOST_TEST(it.writer->stats().refused_batches == 1U);
     }},
    {"records beyond retention",
     [](account_fixture& it) {
         it.run_requests(30);
         it.close();
         it.log.drop_before(4);
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(!statement.is_complete());
         BOOST_TEST(statement.gaps.size() == 1U);
         BOOST_TEST(gap_of(statement, cause::not_retained).count == 4U);
         BOOST_TEST((gap_of(statement, cause::not_retained).from == wall_time{}));
     }},
    {"everything beyond retention",
     [](account_fixture& it) {
         it.run_requests(5);
         it.close();
         it.log.records.clear();
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(count(statement, cause::not_retained) == 1U);
         BOOST_TEST(!statement.is_complete());
     }},
    {"instance killed with open and unwritten records, and replaced",
     [](account_fixture& it) {
         it.writer->received(it.receipt("open.1"));
         it.timers.advance(2s);
         it.writer->received(it.receipt("lost.1"));
         it.writer->ended(it.end("filler.1", "other"));
         it.timers.advance(500ms);
         it.writer.reset();
         it.timers.advance(1s);
         it.start(2);
         it.timers.advance(2s);
         it.run_requests(3, "b.");
         it.close();
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(!statement.is_complete());
         BOOST_TEST(statement.records.size() == 4U);
         BOOST_TEST(statement.unknowns.size() == 1U);
         BOOST_TEST(statement.unknowns.front().receipt.submission_id == "open.1");
         BOOST_TEST(statement.unknowns.front().why ==
                    "the instance ended before it recorded the end");
         BOOST_TEST(count(statement, cause::writer_ended) == 1U);
         // "lost.1" was received 500 ms before the kill, and a batch without it followed.
         const auto& gap = gap_of(statement, cause::writer_ended);
         BOOST_TEST((gap.until - gap.from >= 1500ms));
     }},
    {"instance killed while idle and never replaced",
     [](account_fixture& it) {
         it.run_requests(3);
         it.writer.reset();
         it.timers.advance(10min);
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(count(statement, cause::writer_ended) == 1U);
     }},
    {"instance idle for long and alive",
     [](account_fixture& it) {
         it.run_requests(3);
         it.timers.advance(1h);
     },
     [](account_fixture& it, const account_statement& statement) {
         BOOST_TEST(statement.gaps.empty());
         BOOST_TEST(it.writer->stats().appends < 70U);
     }},
    {"request is open for less than its receipt needs",
     [](account_fixture& it) {
         it.timers.advance(1s);
         const auto received = it.timers.wall_now();
         it.writer->received(it.receipt("short.1"));
         it.run_requests(8, "b.");
         BOOST_TEST((it.read().complete_until <= received));
         it.writer->ended(it.end("short.1"));
         it.close();
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(statement.is_complete());
     }},
    {"request outlives the batch interval and ends",
     [](account_fixture& it) {
         it.writer->received(it.receipt("slow.1"));
         it.timers.advance(5s);
         BOOST_TEST(it.read().unknowns.front().why ==
                    "still running, or its end is not written yet");
         it.writer->ended(it.end("slow.1"));
         it.close();
     },
     [](account_fixture& it, const account_statement& statement) {
         BOOST_TEST(statement.is_complete());
         BOOST_TEST(statement.records.size() == 1U);
         BOOST_TEST(it.writer->stats().receipts == 1U);
     }},
    {"two customers interleaved, one id a prefix of the other",
     [](account_fixture& it) {
         for (unsigned i = 0; i < 10; ++i) {
             it.run_requests(1, fmt::format("a{}.", i), "amina");
             it.run_requests(1, fmt::format("b{}.", i), "amina2");
         }
         it.close();
     },
     [](account_fixture& it, const account_statement& statement) {
         BOOST_TEST(statement.records.size() == 10U);
         for (const auto& record : statement.records) {
             BOOST_TEST(record.receipt.customer == "amina");
         }
         BOOST_TEST(it.read("amina2").records.size() == 10U);
         BOOST_TEST(it.read("amin").records.empty());
     }},
    {"archive and log overlap",
     [](account_fixture& it) {
         it.run_requests(15);
         it.timers.advance(1s);
         const auto exported = it.run_export();
         BOOST_TEST(exported.value().reached == it.log.end);
         it.run_requests(15, "b.");
         it.close();
         it.log.drop_before(2);
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(statement.is_complete());
         BOOST_TEST(statement.records.size() == 30U);
         BOOST_TEST(statement.duplicate_answers.empty());
     }},
    {"export is late: a gap between archive and log",
     [](account_fixture& it) {
         it.run_requests(10);
         it.timers.advance(1s);
         const auto reached = it.run_export().value().reached;
         it.run_requests(30, "b.");
         it.close();
         it.log.drop_before(reached + 3);
         BOOST_TEST(it.run_export().value().missed == 3U);
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(!statement.is_complete());
         BOOST_TEST(statement.gaps.size() == 1U);
         BOOST_TEST(gap_of(statement, cause::not_retained).count == 3U);
         BOOST_TEST((gap_of(statement, cause::not_retained).from != wall_time{}));
     }},
    {"archive's last line cut short by a crash of the export",
     [](account_fixture& it) {
         it.run_requests(10);
         it.close();
         it.run_export().value();
         it.archive.reset();
         std::ifstream in(it.path, std::ios::binary);
         const std::string text{std::istreambuf_iterator<char>(in), {}};
         std::ofstream(it.path, std::ios::binary) << text.substr(0, text.size() - 40);
         BOOST_TEST(it.run_export().value().exported == 1U);
         BOOST_TEST(it.archive->damaged_lines() == 1U);
         it.log.records.clear();
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(statement.is_complete());
         BOOST_TEST(statement.records.size() == 10U);
     }},
    {"log rewound behind the archive",
     [](account_fixture& it) {
         it.run_requests(10);
         it.close();
         it.run_export().value();
         it.log.records.resize(1);
         it.log.end = 1;
         it.archive.reset();
         BOOST_TEST((it.run_export().error().code == errc::conflict));
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(count(statement, cause::log_regressed) == 1U);
         BOOST_TEST(statement.records.size() == 10U);
     }},
    {"log down when the account is read",
     [](account_fixture& it) {
         it.run_requests(10);
         it.close();
         it.run_export().value();
         it.log.is_down = true;
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(count(statement, cause::log_not_read) == 1U);
         BOOST_TEST(statement.records.size() == 10U);
     }},
    {"batch number missing and unreadable batch",
     [](account_fixture& it) {
         it.run_requests(40);
         it.close();
         it.log.records[2].content = "{}\n";
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(count(statement, cause::unreadable_batch) == 1U);
         BOOST_TEST(count(statement, cause::batch_missing) == 1U);
         BOOST_TEST(gap_of(statement, cause::batch_missing).count == 1U);
     }},
    {"missing batch arrives late",
     [](account_fixture& it) {
         it.run_requests(20);
         it.close();
         auto& records = it.log.records;
         std::swap(records[1].content, records[3].content);
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(statement.is_complete());
         BOOST_TEST(statement.records.size() == 20U);
     }},
    {"duplicate answer and duplicate start",
     [](account_fixture& it) {
         it.writer->ended(it.end("twice.1"));
         it.timers.advance(1s);
         it.writer->ended(it.end("twice.1"));
         auto started = it.end("started.1");
         started.workers = {{"w1", 1}, {"w2", 1}};
         it.writer->ended(started);
         auto hedged = it.end("hedged.1");
         hedged.workers = {{"w1", 1}, {"w2", 1}};
         hedged.second_starts = 1;
         it.writer->ended(hedged);
         it.close();
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(statement.duplicate_answers == std::vector<std::string>{"twice.1"});
         BOOST_TEST(statement.duplicate_starts == std::vector<std::string>{"started.1"});
     }},
    {"an id is owned by two incarnations",
     [](account_fixture& it) {
         it.run_requests(1);
         it.close();
         it.start(2);
         it.run_requests(1);
         it.close();
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(statement.duplicate_starts == std::vector<std::string>{"a.0"});
     }},
    {"instance reports an unknown outcome",
     [](account_fixture& it) {
         it.writer->ended(it.end("u.1", "amina", account_outcome::unknown));
         it.close();
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(statement.unknowns.size() == 1U);
     }},
    {"log down and reply lost, killed, replaced, archive late",
     [](account_fixture& it) {
         it.run_requests(10);
         it.timers.advance(1s);
         const auto reached = it.run_export().value().reached;
         it.log.is_down = true;
         it.run_requests(10, "b.");
         it.log.is_down = false;
         it.log.lose_replies = 1;
         it.timers.advance(20s);
         it.writer.reset();
         it.start(2);
         it.run_requests(10, "c.");
         it.close();
         it.log.drop_before(reached + 1);
     },
     [](account_fixture&, const account_statement& statement) {
         BOOST_TEST(count(statement, cause::not_retained) == 1U);
         BOOST_TEST(statement.duplicate_answers.empty());
         BOOST_TEST(!statement.is_complete());
         BOOST_TEST(statement.records.size() == 30U);
     }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(account)

// Guards against records that are lost, counted twice or assigned to another customer, and against
// an incomplete account that is reported as complete.
BOOST_AUTO_TEST_CASE(faults)
{
    for (const auto& row : cases) {
        BOOST_TEST_CONTEXT(row.fault)
        {
            account_fixture it;
            row.act(it);
            const auto statement = it.read();
            BOOST_TEST_INFO(to_text(statement));
            row.check(it, statement);
        }
    }
}

// Guards against a shutdown that hangs while the log is down, or that reports success.
BOOST_AUTO_TEST_CASE(close_reports_what_it_could_not_write)
{
    account_fixture it;
    it.timers.advance(1s);
    it.log.is_down = true;
    it.run_requests(3);
    std::optional<result<void>> closed;
    it.writer->close(10s, [&](auto done) { closed = std::move(done); });
    it.timers.advance(9s);
    BOOST_TEST(!closed.has_value());
    it.timers.advance(2s);
    BOOST_REQUIRE(closed.has_value());
    BOOST_TEST((closed->error().code == errc::timed_out));
}

// Guards against instances that exceed the append budget of the deployment.
BOOST_AUTO_TEST_CASE(interval_follows_from_instances_and_budget)
{
    account_fixture it;
    const std::pair<std::size_t, duration> rows[] = {
        {1, 250ms}, {9, 250ms}, {50, 500ms}, {200, 2s}};
    for (const auto& [instances, interval] : rows) {
        it.writer->set_instances(instances);
        BOOST_TEST((it.writer->interval() == interval));
    }
    const auto before = it.writer->stats().appends;
    it.run_requests(600);
    BOOST_TEST(it.writer->stats().appends - before <= 31U);
}

// Guards against two exports that write to one archive.
BOOST_AUTO_TEST_CASE(archive_is_locked)
{
    account_fixture it;
    it.run_export().value();
    const auto second = account_archive::open(it.path, account_archive::mode::append);
    BOOST_TEST((second.error().code == errc::conflict));
}

// Guards against malformed batches that are accepted or crash the process.
BOOST_AUTO_TEST_CASE(codec_rejects_wrong_texts)
{
    account_batch batch;
    batch.instance = "i\"1\n";
    batch.ends.emplace_back();
    batch.ends.back().receipt.customer = "Zahra \xc3\xa9 \"q\"";
    batch.ends.back().outcome = account_outcome::failed_after_run;
    batch.ends.back().workers = {{"w\\1", 3}};
    const auto good = encode_batch(batch);
    const auto decoded = decode_batch(good);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().instance == batch.instance);
    BOOST_TEST(decoded.value().ends[0].receipt.customer == batch.ends[0].receipt.customer);
    BOOST_TEST((decoded.value().ends[0].workers == batch.ends[0].workers));
    const auto line = good.find('\n') + 1;
    const std::string wrong[] = {"",
                                 "{}\n",
                                 good.substr(0, good.size() - 1),
                                 good.substr(line),
                                 good + "[]\n",
                                 good + "[\"e\",1]\n",
                                 good + std::string(50, '[') + "\n"};
    for (const auto& text : wrong) {
        BOOST_TEST(!decode_batch(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
