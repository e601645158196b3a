#include "message_codec.h"
#include "node_settings.h"
#include "store_client.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;
using namespace cactusloom::platform_adapter;

BOOST_AUTO_TEST_SUITE(messages)

// Guards against a job whose requirements are decoded wrongly.
BOOST_AUTO_TEST_CASE(a_job_is_decoded_with_all_its_steps)
{
    const auto job = decode_job_body(
        R"({"spec":"x","bestEffort":true,"steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,
        "affinity":"r1-3"},{"count":20,"cpu":2000,"after":[0],"requires":"a","antiAffinity":2}]})");
    BOOST_REQUIRE(job);
    const auto& it = job.value();
    BOOST_TEST(it.answer_at_end);
    BOOST_TEST(it.unsupported == "");
    BOOST_REQUIRE(it.request.steps.size() == 2U);
    BOOST_TEST(it.request.steps[0].demand.memory_mb == 256);
    BOOST_TEST(it.request.steps[0].estimate.count() == 900000);
    BOOST_TEST(it.request.steps[0].data_rack == "r1-3");
    BOOST_TEST(it.request.steps[1].after.size() == 1U);
    BOOST_TEST(it.request.steps[1].required_label == "a");
    BOOST_TEST(it.request.steps[1].max_per_worker == 2U);
}

// Guards against accepting jobs that need unsupported features.
BOOST_AUTO_TEST_CASE(unsupported_features_are_reported)
{
    struct row {
        const char* body;
        const char* feature;
    };
    const row rows[] = {
        {R"({"spec":"","times":3,"steps":[{"count":1}]})", "times"},
        {R"({"spec":"","longRunning":true,"steps":[{"count":1}]})", "longRunning"},
        {R"({"spec":"","steps":[{"count":1,"gang":true}]})", "gang"},
        {R"({"spec":"","steps":[{"count":1,"fills":true}]})", "fills"},
        {R"({"spec":"","steps":[{"count":1,"gang":false}]})", ""},
    };
    for (const auto& it : rows) {
        const auto job = decode_job_body(it.body);
        BOOST_REQUIRE(job);
        BOOST_TEST(job.value().unsupported == it.feature);
    }
}

// Guards against malformed bodies that crash the process or are decoded as something else.
BOOST_AUTO_TEST_CASE(malformed_jobs_are_errors)
{
    const char* bodies[] = {
        "",
        "[]",
        "{",
        R"({"spec":"x"})",
        R"({"spec":1,"steps":[]})",
        R"({"spec":"x","steps":[1]})",
        R"({"spec":"x","steps":[{}]})",
        R"({"spec":"x","steps":[{"count":-1}]})",
        R"({"spec":"x","steps":[{"count":"4"}]})",
        R"({"spec":"x","steps":[{"count":1,"estimateMs":9223372036854775807}]})",
        R"({"spec":"x","steps":[{"count":1,"after":["a"]}]})"};
    for (const char* it : bodies) {
        BOOST_TEST(!decode_job_body(it), it);
    }
}

// Guards against treating entries of other writers as workers.
BOOST_AUTO_TEST_CASE(entries_that_name_no_worker_are_ignored)
{
    const auto good = decode_worker_entry(
        "i-1", R"({"service":"s","address":"10.0.0.1:8080","zone":"z","state":"draining",
        "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"born":1796453147000})");
    BOOST_REQUIRE(good.has_value());
    BOOST_TEST(good->draining);
    BOOST_TEST(good->kind == "a");
    BOOST_TEST(good->started_at_ms == 1796453147000);
    const char* bad[] = {"",
                         "\xff\xfe",
                         "{}",
                         R"({"service":"s","address":"a","zone":"z","state":"resting",
                         "capacity":{"cpu":1,"memMb":1}})",
                         R"({"service":7,"address":"a","zone":"z","state":"ready",
                         "capacity":{"cpu":1,"memMb":1}})",
                         R"({"service":"s","address":"a","zone":"z","state":"ready"})",
                         R"({"service":"s","address":"10.0.0.1:70000","zone":"z","state":"ready",
                         "capacity":{"cpu":1,"memMb":1}})",
                         R"({"service":"s","address":"10.0.0.1:1\n","zone":"z","state":"ready",
                         "capacity":{"cpu":1,"memMb":1}})",
                         R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready",
                         "capacity":{"cpu":9223372036854775807,"memMb":1}})",
                         R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready",
                         "capacity":{"cpu":-1,"memMb":1}})",
                         R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready",
                         "capacity":{"cpu":1,"memMb":1},"born":1e300})"};
    for (const char* it : bad) {
        BOOST_TEST(!decode_worker_entry("i-1", it).has_value(), it);
    }
}

// Guards against treating replies as "not run" that do not prove it.
BOOST_AUTO_TEST_CASE(replies_of_workers_map_to_certain_outcomes)
{
    struct row {
        int status;
        const char* body;
        command_status expected;
    };
    const row rows[] = {
        {200, R"({"clockMs":5})", command_status::accepted},
        {409, R"({"clockMs":5,"reason":"fence"})", command_status::fenced},
        {409, R"({"clockMs":5,"reason":"old"})", command_status::superseded},
        {409, R"({"clockMs":5,"reason":"late"})", command_status::too_late},
        {409, R"({"clockMs":5,"reason":"room"})", command_status::no_room},
        {421, "", command_status::wrong_incarnation},
        {503, "", command_status::unhealthy},
        {400, "", command_status::invalid},
        {500, "", command_status::reply_lost},
        {502, "", command_status::reply_lost},
    };
    for (const auto& it : rows) {
        BOOST_TEST(static_cast<int>(decode_order_reply(it.status, it.body).status) ==
                   static_cast<int>(it.expected));
    }
    BOOST_TEST(decode_order_reply(200, R"({"clockMs":5})").clock_ms == 5);
}

// Guards against a list of runs that is decoded wrongly, or treated as empty if it is unreadable.
BOOST_AUTO_TEST_CASE(a_poll_lists_runs_and_ends)
{
    const auto it =
        decode_poll_reply(200, R"({"clockMs":9,"born":3,"running":[["a.0.1.17",2,"",41]],
        "finished":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"lapsed",""]]})");
    BOOST_TEST(static_cast<int>(it.status) == static_cast<int>(command_status::accepted));
    BOOST_REQUIRE(it.running.size() == 1U);
    BOOST_TEST(it.running[0].percent == 41);
    BOOST_REQUIRE(it.finished.size() == 2U);
    BOOST_TEST(it.finished[0].number == 58U);
    BOOST_TEST(static_cast<int>(it.finished[1].how) == static_cast<int>(run_end::lapsed));
    BOOST_TEST(it.finished_complete);
    const auto cut = decode_poll_reply(200, R"({"clockMs":9,"run)");
    BOOST_TEST(static_cast<int>(cut.status) == static_cast<int>(command_status::reply_lost));
}

// Guards against a configuration that is applied partially.
BOOST_AUTO_TEST_CASE(a_configuration_is_decoded_or_refused)
{
    const auto table = decode_queue_table(
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":1500,
        "targetLatencyMs":60,"service":"s","attempts":3,"stretch":1.6}],
        "limits":{"maxBodyBytes":1000}})");
    BOOST_REQUIRE(table);
    BOOST_TEST(table.value().version == 7);
    BOOST_TEST(table.value().limits.body_bytes == 1000U);
    BOOST_TEST(table.value().routes.at(0).terms.attempts == 3U);
    BOOST_TEST(!decode_queue_table("{}"));
    BOOST_TEST(!decode_queue_table(R"({"version":7,"routes":[1]})"));
    BOOST_TEST(!decode_queue_table(R"({"version":7,"routes":[{"attempts":-1}]})"));
    BOOST_TEST(
        !decode_queue_table(R"({"version":7,"routes":[{"timeoutMs":9223372036854775807}]})"));
    BOOST_TEST(!decode_queue_table(R"({"version":"7","routes":[]})"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(store)

// Guards against records that are split at the wrong place, and against a next offset that would
// read them again.
BOOST_AUTO_TEST_CASE(records_are_read_back_as_written)
{
    std::string body(16, '\0');
    body[7] = 9; // the topic ends at offset 9
    body += encode_keyed_record("a", "value");
    body += encode_keyed_record("b", "");
    body += std::string("\0\0\0\x09", 4) + "\x01" + "c"; // cut off
    const auto page = decode_log_records(body, 5);
    BOOST_TEST(static_cast<int>(page.state) == static_cast<int>(keyed_page::status::ok));
    BOOST_TEST(page.end == 9U);
    BOOST_TEST(page.next == 7U);
    BOOST_REQUIRE(page.records.size() == 2U);
    BOOST_TEST(page.records[0].offset == 5U);
    BOOST_TEST(*page.records[0].value == "value");
    BOOST_TEST(!page.records[1].value.has_value());
    BOOST_TEST(static_cast<int>(decode_log_records("short", 0).state) ==
               static_cast<int>(keyed_page::status::failed));
}

// Guards against a list that stays where it was because of a record without a key.
BOOST_AUTO_TEST_CASE(records_without_a_key_are_passed_over)
{
    std::string body(16, '\0');
    body[7] = 4;
    body += std::string("\0\0\0\0", 4);        // no content
    body += std::string("\0\0\0\x02\x09k", 6); // shorter than its key
    body += encode_keyed_record("a", "value");
    const auto page = decode_log_records(body, 0);
    BOOST_TEST(page.next == 3U);
    BOOST_REQUIRE(page.records.size() == 1U);
    BOOST_TEST(page.records[0].key == "a");
    BOOST_TEST(page.records[0].offset == 2U);
}

BOOST_AUTO_TEST_CASE(newest_records_are_decoded)
{
    const auto page = decode_newest(
        R"({"items":[{"key":"config","value":"YWJj","offset":4},{"key":"x"},{"key":1}],
        "hasMore":true,"end":6})");
    BOOST_REQUIRE(page.records.size() == 1U);
    BOOST_TEST(*page.records[0].value == "abc");
    BOOST_TEST(page.has_more);
    BOOST_TEST(page.last_key == "x"); // the next page begins after it, readable or not
    BOOST_TEST(page.end == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings)

// Guards against a start with missing settings, and against reporting only the first error.
BOOST_AUTO_TEST_CASE(all_findings_are_reported_together)
{
    const auto empty = parse_node_settings("[limits]\ncpuShare = -1\n");
    BOOST_REQUIRE(!empty);
    for (const char* key :
         {"node", "zone", "listen.front", "platform.address", "limits.cpuShare"}) {
        BOOST_TEST(empty.error().message.find(key) != std::string::npos, key);
    }
    BOOST_TEST(!parse_node_settings("node = "));
}

BOOST_AUTO_TEST_CASE(a_complete_file_is_read)
{
    const auto settings = parse_node_settings(R"(
node = "n1"
zone = "z"
ip = "10.0.0.1"
unknown = true
seeds = ["10.0.0.2:1"]
[listen]
front = "10.0.0.1:1"
readyAddr = "10.0.0.1:2"
control = "10.0.0.1:3"
[limits]
cpuShare = 0.25
maxFds = 4100
[bounds]
holdMaxMs = 1000
stopTimeoutMs = 50
graceS = 6
configApplyMs = 2000
remotePenalty = 1.5
[platform]
address = "10.0.0.9:1"
)");
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings.value().shutdown_timeout.count() == 6000000);
    BOOST_TEST(settings.value().metrics_address == "10.0.0.1:9464");
    BOOST_TEST(settings.value().seeds.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
