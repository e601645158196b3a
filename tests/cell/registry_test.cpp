#include "cell/keyed_follower.h"
#include "cell/queue_table.h"
#include "cell/worker_registry.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

worker_report report(const std::string& id, bool draining = false)
{
    worker_report out;
    out.id = id;
    out.address = "10.0.0.1:1";
    out.draining = draining;
    return out;
}

// An in-memory topic with the failure modes of the platform's store.
class memory_topic final : public keyed_log {
public:
    explicit memory_topic(timer_service& timers) : timers_(timers) {}

    void append(const std::string& key, std::optional<std::string> value)
    {
        log_.push_back({key, std::move(value), log_.size()});
    }

    void read(keyed_topic /*topic*/, std::uint64_t from, duration /*wait*/, callback fn) override
    {
        keyed_page page;
        if (!down) {
            page.state = from < trimmed ? keyed_page::status::trimmed : keyed_page::status::ok;
            for (auto i = from; i < log_.size() && from >= trimmed; ++i) {
                page.records.push_back(log_[i]);
            }
            page.next = std::max<std::uint64_t>(from, log_.size());
        }
        ++reads;
        records_sent += page.records.size();
        timers_.schedule(4ms, [fn, page] { fn(page); });
    }

    void newest(keyed_topic /*topic*/, const std::string& /*after*/, callback fn) override
    {
        keyed_page page;
        if (!down) {
            page.state = keyed_page::status::ok;
            std::map<std::string, keyed_record> last;
            for (const auto& it : log_) {
                last[it.key] = it;
            }
            for (const auto& [key, it] : last) {
                if (it.value) {
                    page.records.push_back(it);
                }
            }
            page.end = log_.size();
            page.has_more = repeats_pages;
            page.last_key = last.empty() ? "" : last.rbegin()->first;
        }
        ++reads;
        records_sent += page.records.size();
        timers_.schedule(4ms, [fn, page] { fn(page); });
    }

    void put(keyed_topic /*topic*/, const std::string& key, const std::string& value,
             std::function<void(bool)> fn) override
    {
        append(key, value);
        timers_.schedule(4ms, [fn] { fn(true); });
    }

    bool down = false;
    bool repeats_pages = false; // each page of the newest records is the first one
    std::uint64_t trimmed = 0;  // records before this offset have been deleted
    std::size_t reads = 0;
    std::size_t records_sent = 0;

private:
    timer_service& timers_;
    std::vector<keyed_record> log_;
};

struct follower_fixture {
    virtual_timer_service timers;
    memory_topic topic{timers};
    keyed_follower follower{timers, topic, keyed_topic::workers, {{}, 100ms}};
    std::map<std::string, std::string> values;

    follower_fixture()
    {
        follower.on_record = [this](const keyed_record& it) {
            if (it.value) {
                values[it.key] = *it.value;
            }
            else {
                values.erase(it.key);
            }
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(follower, follower_fixture)

// Guards against changes being missed across an outage, and against starting again with no records.
BOOST_AUTO_TEST_CASE(changes_are_seen_after_an_outage)
{
    topic.append("a", "1");
    follower.start();
    timers.advance(50ms);
    topic.down = true;
    timers.advance(1s);
    topic.append("a", "2");
    topic.append("b", "1");
    BOOST_TEST(values.at("a") == "1");
    topic.down = false;
    timers.advance(500ms);
    BOOST_TEST(values.at("a") == "2");
    BOOST_TEST(values.at("b") == "1");
}

// Guards against requests without end to a store that repeats a page, and against taking the keys
// of the pages that are missing for removed.
BOOST_AUTO_TEST_CASE(a_listing_without_progress_is_given_up_for_a_while)
{
    topic.append("a", "1");
    topic.repeats_pages = true;
    bool complete = false;
    follower.on_read = [&complete] { complete = true; };
    follower.start();
    timers.advance(1s);
    BOOST_TEST(!complete);
    BOOST_TEST(topic.reads <= 10U);
    topic.repeats_pages = false;
    timers.advance(300ms);
    BOOST_TEST(complete);
}

// Guards against a follower that stalls, or keeps removed keys, after older records were deleted.
BOOST_AUTO_TEST_CASE(deleted_history_is_replaced_by_the_newest_records)
{
    topic.append("a", "1");
    topic.append("b", "1");
    follower.start();
    timers.advance(50ms);
    topic.append("b", std::nullopt);
    topic.append("c", "1");
    topic.trimmed = 4;
    timers.advance(500ms);
    BOOST_TEST(values.size() == 2U);
    BOOST_TEST(!values.contains("b"));
    BOOST_TEST(values.contains("c"));
}

// Guards against a list that was read before the request for a new one.
BOOST_AUTO_TEST_CASE(an_immediate_read_starts_after_its_request)
{
    follower.start();
    timers.advance(50ms);
    const auto requested_at = timers.monotonic_now();
    follower.read_now();
    timers.advance(10ms);
    BOOST_TEST((follower.read_started_at() >= requested_at));
}

// Guards against a standby that receives every heartbeat of each worker between two reads instead
// of one record per worker.
BOOST_AUTO_TEST_CASE(a_listing_transfers_one_record_per_key)
{
    follower.set_poll_policy({{}, 1s, true});
    follower.start();
    timers.advance(50ms);
    const auto before = topic.records_sent;
    for (int i = 0; i < 50; ++i) {
        topic.append("a", std::to_string(i));
        topic.append("b", std::to_string(i));
    }
    topic.append("b", std::nullopt);
    timers.advance(1s);
    BOOST_TEST(values.at("a") == "49");
    BOOST_TEST(!values.contains("b"));
    BOOST_TEST(topic.records_sent - before == 1U);
}

// Guards against a new controller that reads all records since its last listing as a standby.
BOOST_AUTO_TEST_CASE(a_long_read_gap_is_replaced_by_a_listing)
{
    follower.set_poll_policy({{}, 10s, true});
    follower.start();
    timers.advance(5s);
    for (int i = 0; i < 50; ++i) {
        topic.append("a", std::to_string(i));
    }
    const auto before = topic.records_sent;
    follower.set_poll_policy({{}, 400ms});
    follower.read_now();
    timers.advance(20ms);
    BOOST_TEST(values.at("a") == "49");
    BOOST_TEST(topic.records_sent - before == 1U);
}

// Guards against a follower with a long interval that repeatedly fetches unchanged records, such as
// a whole configuration.
BOOST_AUTO_TEST_CASE(a_long_interval_does_not_repeat_unchanged_records)
{
    follower.set_poll_policy({{}, 3s});
    topic.append("a", "1");
    follower.start();
    timers.advance(10s);
    BOOST_TEST(topic.records_sent == 1U);
    topic.append("a", "2");
    timers.advance(4s);
    BOOST_TEST(values.at("a") == "2");
}

// Guards against an instance that reads records it does not use, and against one that does not
// catch up when it needs them again.
BOOST_AUTO_TEST_CASE(a_paused_follower_reads_nothing_until_it_is_started_again)
{
    topic.append("a", "1");
    follower.start();
    timers.advance(50ms);
    follower.pause();
    timers.advance(200ms);
    const auto reads = topic.reads;
    topic.append("a", "2");
    timers.advance(5s);
    BOOST_TEST(topic.reads == reads);
    BOOST_TEST(values.at("a") == "1");
    follower.start();
    timers.advance(50ms);
    BOOST_TEST(values.at("a") == "2");
}

// Guards against fetching a record again that a peer has already sent.
BOOST_AUTO_TEST_CASE(records_known_from_elsewhere_are_skipped)
{
    follower.start();
    timers.advance(50ms);
    const auto before = topic.records_sent;
    topic.append("a", "1");
    follower.skip_to(1);
    timers.advance(200ms);
    BOOST_TEST(topic.records_sent == before);
    topic.append("a", "2");
    timers.advance(200ms);
    BOOST_TEST(values.at("a") == "2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(workers)

// Guards against dropping live workers because their entries lapsed while the platform's store was
// unavailable, and against keeping lost workers forever.
BOOST_AUTO_TEST_CASE(a_missing_entry_expires_only_while_the_list_is_readable)
{
    virtual_timer_service timers;
    worker_registry registry(timers);
    registry.put(report("a"));
    timers.advance(1s);
    BOOST_TEST(!registry.remove("a"));
    timers.advance(10s);
    BOOST_TEST(!registry.expire(timers.monotonic_now())); // the store has just returned
    BOOST_TEST(registry.list().size() == 1U);
    BOOST_TEST(!registry.put(report("a")));
    registry.remove("a");
    timers.advance(2600ms);
    BOOST_TEST(registry.expire(monotonic_time{}));
    BOOST_TEST(registry.empty());
}

// Guards against waiting for a worker that left after draining, and against missing a change to the
// draining state.
BOOST_AUTO_TEST_CASE(draining_is_a_change_and_its_end_is_final)
{
    virtual_timer_service timers;
    worker_registry registry(timers);
    BOOST_TEST(registry.put(report("a")));
    BOOST_TEST(!registry.put(report("a")));
    BOOST_TEST(registry.put(report("a", true)));
    BOOST_TEST(registry.remove("a"));
    BOOST_TEST(registry.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(queues)

// Guards against a submission being routed to the wrong queue.
BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    queue_table table;
    const auto add = [&](const char* host, const char* prefix, const char* queue) {
        queue_route route;
        route.host = host;
        route.path_prefix = prefix;
        route.terms.queue = queue;
        table.routes.push_back(route);
    };
    add("one", "/a/", "short");
    add("one", "/a/b/", "long");
    add("two", "/a/", "other");
    BOOST_TEST(table.find("one", "/a/b/1")->terms.queue == "long");
    BOOST_TEST(table.find("one:80", "/a/1")->terms.queue == "short");
    BOOST_TEST(table.find("two", "/a/b/1")->terms.queue == "other");
    BOOST_TEST(table.find("three", "/a/1") == nullptr);
    BOOST_TEST(table.find("one", "/b/1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
