#include "base/random.h"
#include "submission/submission_registry.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace cactusloom;
using namespace std::chrono_literals;
using verdict = submission_registry::verdict;

BOOST_AUTO_TEST_SUITE(submission_registries)

// Guards against accepting a submission that may have run already.
BOOST_AUTO_TEST_CASE(verdict_depends_on_id_body_and_age)
{
    struct row {
        const char* what;
        std::uint64_t id;
        std::uint64_t body;
        duration issued;
        duration now;
        verdict expected;
    };
    const row rows[] = {
        {"first", 1, 10, 0s, 1s, verdict::fresh},
        {"same again", 1, 10, 0s, 2s, verdict::known},
        {"same id, other body", 1, 11, 0s, 2s, verdict::conflict},
        {"other id", 2, 10, 0s, 2s, verdict::fresh},
        {"hash zero", 0, 10, 0s, 2s, verdict::fresh},
        {"hash zero again", 0, 10, 0s, 2s, verdict::known},
        {"from the future", 3, 10, 3s, 2s, verdict::invalid},
        {"known at the last moment", 1, 10, 0s, 120s, verdict::known},
        {"new at the last moment", 4, 10, 0s, 120s, verdict::fresh},
        {"known but expired", 1, 10, 0s, 120s + 1us, verdict::expired},
        {"never seen and expired", 5, 10, 0s, 120s + 1us, verdict::expired},
        {"later prefix", 6, 10, 119s, 200s, verdict::fresh},
        {"earlier prefix after a later one", 7, 10, 90s, 200s, verdict::fresh},
        {"its repetition", 7, 10, 90s, 200s, verdict::known},
        {"expired after its table is gone", 1, 10, 0s, 300s, verdict::expired},
    };
    submission_registry registry{100};
    for (const row& it : rows) {
        const auto got =
            registry.try_insert(it.id, it.body, monotonic_time{it.issued}, monotonic_time{it.now});
        BOOST_TEST((got == it.expected), it.what);
    }
}

// Guards against a full registry that drops ids which could still be submitted again.
BOOST_AUTO_TEST_CASE(full_registry_refuses_new_ids_and_keeps_old_ones)
{
    submission_registry registry{50};
    for (std::uint64_t id = 1; id <= 50; ++id) {
        BOOST_TEST(
            (registry.try_insert(id, 0, monotonic_time{0s}, monotonic_time{1s}) == verdict::fresh));
    }
    BOOST_TEST(
        (registry.try_insert(51, 0, monotonic_time{0s}, monotonic_time{1s}) == verdict::full));
    BOOST_TEST(
        (registry.try_insert(7, 0, monotonic_time{0s}, monotonic_time{1s}) == verdict::known));
    BOOST_TEST(
        (registry.try_insert(51, 0, monotonic_time{130s}, monotonic_time{130s}) == verdict::fresh));
    BOOST_TEST(registry.size() == 1U);
}

// Guards against accepting an id twice, under random order and age and while the tables grow.
BOOST_AUTO_TEST_CASE(no_id_is_accepted_twice)
{
    random_engine random{11};
    submission_registry registry{100000};
    std::set<std::uint64_t> accepted;
    for (int n = 0; n < 50000; ++n) {
        const auto now = monotonic_time{10ms * n + 200s};
        const std::uint64_t id = draw_below(random, 4000);
        // The issue time is part of the id, so it is the same each time.
        const auto issued = monotonic_time{100ms * static_cast<int>(id) + 200s};
        if (registry.try_insert(id * 0x9e3779b97f4a7c15U, 0, issued, now) == verdict::fresh) {
            BOOST_TEST(accepted.insert(id).second);
        }
    }
    BOOST_TEST(accepted.size() > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
