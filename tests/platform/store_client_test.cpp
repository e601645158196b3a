#include "store_client.h"

#include "base/glib_timer_service.h"
#include "cell/keyed_follower.h"
#include "http/loop.h"
#include "stand_in/simulated_platform.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

using namespace cactusloom;
using namespace cactusloom::platform_adapter;
using namespace std::chrono_literals;

namespace {

// A store over HTTP and its client.
struct store_fixture {
    static constexpr const char* address = "127.0.0.1:17701";

    glib_timer_service timers;
    poller events;
    simulated_platform platform{events, timers};
    pooled_http_client http{events, timers};
    store_client store{http, address};
    std::set<std::string> listed;

    store_fixture() { BOOST_REQUIRE(platform.serve_store(address)); }

    void put(const std::string& key)
    {
        bool stored = false;
        store.put(keyed_topic::instances, key, "{}", [&stored](bool ok) { stored = ok; });
        run_until([&stored] { return stored; });
    }

    // Lists the topic once, for at most a second.
    void list()
    {
        keyed_follower follower(timers, store, keyed_topic::instances, {{}, 100ms});
        bool complete = false;
        follower.on_record = [this](const keyed_record& it) { listed.insert(it.key); };
        follower.on_read = [&complete] { complete = true; };
        follower.start();
        const auto end = timers.monotonic_now() + 1s;
        run_until([&] { return complete || timers.monotonic_now() > end; });
        BOOST_TEST(complete);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_over_http, store_fixture)

// Guards against a listing that never ends because a key at the end of a page has characters with a
// meaning in a query.
BOOST_AUTO_TEST_CASE(keys_of_any_characters_are_listed_over_several_pages)
{
    std::set<std::string> keys;
    for (int i = 0; i < 520; ++i) {
        keys.insert(fmt::format("i-{:03} &after=%\n#{}", i, i));
    }
    for (const auto& it : keys) {
        put(it);
    }
    list();
    BOOST_TEST(listed == keys, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
