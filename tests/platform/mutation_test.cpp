#include "cell/mesh_codec.h"
#include "http/json_fields.h"
#include "json_mutation.h"
#include "message_codec.h"
#include "store_client.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace cactusloom;
using namespace cactusloom::platform_adapter;

namespace {

constexpr std::uint32_t seed = 33;
constexpr int mutations = 5000;

Json::Value json(const char* text)
{
    return parse_json(text).value();
}

bool is_amount(std::int64_t value)
{
    return value >= 0 && value <= any_amount.most;
}

bool is_sound(const job_step& it)
{
    return it.count <= max_tasks_per_job && is_amount(it.demand.cpu_millis) &&
           is_amount(it.demand.memory_mb) && is_amount(it.demand.gpus) &&
           it.estimate >= duration::zero();
}

const char* const entry = R"({"service":"s","address":"10.0.0.1:8080","zone":"z","state":"ready",
    "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"born":12,"seq":4})";
const char* const configuration =
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":1500,
    "targetLatencyMs":60,"service":"s","attempts":3,"stretch":1.6,"priority":1},{"name":"q"}],
    "services":[{"name":"s"}],"limits":{"maxBodyBytes":1000,"idleTimeoutMs":5000}})";
const char* const job = R"({"spec":"x","bestEffort":true,"steps":[{"count":4,"cpu":500,"memMb":256,
    "estimateMs":900,"affinity":"r1-3"},{"count":20,"after":[0],"requires":"a","antiAffinity":2}]})";
const char* const page = R"({"items":[{"key":"config","value":"YWJj","offset":4}],"end":6,
    "hasMore":false})";
const char* const poll = R"({"clockMs":9,"born":3,"running":[["a.0.1.17",2,"",41,0]],
    "finished":[[58,"a.0.1.9",1,"done",""]]})";

} // namespace

// Guards against records of another writer that end the process, or whose numbers overflow later.
BOOST_AUTO_TEST_SUITE(mutated_records)

BOOST_AUTO_TEST_CASE(a_worker_entry_is_usable_or_refused)
{
    json_mutator mutator(seed);
    for (int i = 0; i < mutations; ++i) {
        const auto text = mutator.mutate_text(json(entry));
        std::optional<worker_report> out;
        BOOST_REQUIRE_NO_THROW(out = decode_worker_entry("i-1", text));
        if (out) {
            BOOST_TEST(is_amount(out->capacity.cpu_millis), text);
            BOOST_TEST(is_amount(out->capacity.memory_mb), text);
            BOOST_TEST(is_amount(out->capacity.gpus), text);
            BOOST_TEST(out->address == "10.0.0.1:8080", text);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_configuration_is_usable_or_refused)
{
    json_mutator mutator(seed);
    for (int i = 0; i < mutations; ++i) {
        const auto text = mutator.mutate_text(json(configuration));
        result<queue_table> out = failure(errc::invalid_argument, "");
        BOOST_REQUIRE_NO_THROW(out = decode_queue_table(text));
        if (out) {
            BOOST_TEST(out.value().version >= 0, text);
            for (const auto& it : out.value().routes) {
                BOOST_TEST(it.timeout >= duration::zero(), text);
                BOOST_TEST(it.terms.target_latency >= duration::zero(), text);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_job_is_usable_or_refused)
{
    json_mutator mutator(seed);
    for (int i = 0; i < mutations; ++i) {
        const auto text = mutator.mutate_text(json(job));
        result<decoded_job> out = failure(errc::invalid_argument, "");
        BOOST_REQUIRE_NO_THROW(out = decode_job_body(text));
        if (out) {
            BOOST_TEST(std::ranges::all_of(out.value().request.steps, is_sound), text);
        }
    }
}

BOOST_AUTO_TEST_CASE(replies_of_the_store_and_of_workers_are_read_without_an_exception)
{
    json_mutator mutator(seed);
    for (int i = 0; i < mutations; ++i) {
        BOOST_REQUIRE_NO_THROW(decode_newest(mutator.mutate_text(json(page))));
        BOOST_REQUIRE_NO_THROW(decode_poll_reply(200, mutator.mutate_text(json(poll))));
        BOOST_REQUIRE_NO_THROW(decode_order_reply(409, mutator.mutate_text(json(poll))));
    }
}

BOOST_AUTO_TEST_CASE(messages_of_peers_are_read_without_an_exception)
{
    const std::function<void(const Json::Value&)> decoders[] = {
        [](const auto& it) { decode_instance(it); }, [](const auto& it) { decode_instances(it); },
        [](const auto& it) { decode_claims(it); },   [](const auto& it) { decode_job(it); },
        [](const auto& it) { decode_outcome(it); },  [](const auto& it) { decode_loss(it); },
    };
    job_request request = decode_job_body(job).value().request;
    request.resumed = true;
    request.former_workers = {1, 2};
    const Json::Value records[] = {
        encode_instance({"n", "10.0.0.1:1", "dc", 0.25, 5}),
        encode_instances({{"n", "10.0.0.1:1", "dc", 0.25, 5}}),
        encode_claims({{"dc", 7, {1, 2, 3}}}),
        encode_job(request),
        encode_outcome({job_end::completed}),
        encode_loss({"a.0.0.0", "w", 5, true, false}),
    };
    json_mutator mutator(seed);
    for (int i = 0; i < mutations; ++i) {
        for (std::size_t k = 0; k < std::size(records); ++k) {
            const auto value = mutator.mutate(records[k]);
            BOOST_REQUIRE_NO_THROW(decoders[k](value));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
