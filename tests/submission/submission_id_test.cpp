#include "submission/submission_id.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t key = 77;

submission_prefix example()
{
    return {"dd-1.lahore~x", "lhe_1", 0xabcdef0123456789U, monotonic_time{123456789us}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(submission_ids)

// Guards against names with separators or unsafe characters that are parsed to something else.
BOOST_AUTO_TEST_CASE(prefix_survives_the_round_trip_and_is_url_safe)
{
    const auto text = make_prefix(example(), key);
    BOOST_TEST(text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "0123456789-_~") == std::string::npos);
    const std::string whole = text + ".order.7"; // must outlive the parsed suffix, a view into it
    const auto id = parse_submission_id(whole, key);
    BOOST_REQUIRE(id.has_value());
    BOOST_TEST((id.value().prefix == example()));
    BOOST_TEST(id.value().suffix == "order.7");
}

// Guards against a damaged id that is accepted as issued by this deployment.
BOOST_AUTO_TEST_CASE(every_changed_character_of_a_prefix_is_detected)
{
    const auto text = make_prefix(example(), key);
    for (std::size_t n = 0; n < text.size(); ++n) {
        auto changed = text;
        changed[n] = changed[n] == '1' ? '2' : '1';
        BOOST_TEST(!parse_prefix(changed, key).has_value(), changed);
    }
    BOOST_TEST(!parse_prefix(text, key + 1).has_value());
}

// Guards against malformed ids that are accepted or that cause reads out of bounds.
BOOST_AUTO_TEST_CASE(malformed_ids_are_refused)
{
    const auto prefix = make_prefix(example(), key);
    const std::string rows[] = {"",
                                ".",
                                ".x",
                                prefix,
                                prefix + ".",
                                prefix + ".a b",
                                prefix + ".a/b",
                                prefix + "." + std::string(65, 'a'),
                                "~~~~.a",
                                "a~b~c~d.a",
                                prefix + "~1.a",
                                std::string(5000, 'a') + ".a"};
    for (const auto& row : rows) {
        const auto parsed = parse_submission_id(row, key);
        BOOST_TEST(!parsed.has_value(), row);
        BOOST_TEST((parsed.error().code == errc::invalid_argument));
    }
}

BOOST_AUTO_TEST_SUITE_END()
