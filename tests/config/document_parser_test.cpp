#include "config/document.h"

#include "config/example_text.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;

namespace {

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    const auto at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

std::uint32_t line_of(std::string_view text, std::string_view part)
{
    const auto at = text.find(part);
    return at == std::string_view::npos
               ? 0
               : static_cast<std::uint32_t>(1 + std::count(text.begin(), text.begin() + at, '\n'));
}

struct fault_row {
    std::string_view from; // replaced in demo.toml
    std::string_view to;
    std::string_view section;
    std::string_view key;
    std::string_view message; // part of the expected message
    std::string_view at;      // first text on the expected line; empty for line 0
};

// Each row is an error in a document and the finding that must report its place.
constexpr fault_row fault_rows[] = {
    {"[limits]", "[limit]", "limit", "", "unknown section", "[limit]"},
    {"[limits]", "[limit]", "limits", "", "section is missing", ""},
    {"retry_ratio", "retry_rate", "profile", "retry_rate", "unknown key", "retry_rate"},
    {"lease_ms = 5000", "lease_ms = \"5 s\"", "deployment", "lease_ms", "whole number", "lease_ms"},
    {"lease_ms = 5000", "lease_ms = 1", "deployment", "lease_ms", "from 100", "lease_ms"},
    {"hedge_quantile = 0.95", "hedge_quantile = nan", "profile", "hedge_quantile", "from 0.5",
     "hedge_quantile"},
    {"predicted_finish", "fastest", "profile", "routing", "one of", "routing ="},
    {"idempotent = false\n", "", "request_kinds", "[0].idempotent", "missing", "[[request_kinds"},
    {"second_start = false", "second_start = true", "request_kinds", "stamp_check.second_start",
     "idempotent", "second_start"},
    {"second_start = false", "second_start = 0", "request_kinds", "[0].second_start", "true or",
     "second_start"},
    {"\"pal_match\"", "\"stamp_check\"", "request_kinds", "stamp_check", "declared twice",
     "name = \"stamp_check\"\nidempotent = false\nsecond_start = false\nrun_time_ms = 800"},
    {"second_start = false", "needs = [\"gpu\"]", "request_kinds", "stamp_check.needs",
     "no worker has", "[[request_kinds"},
    {"deadline_ms = 2000", "deadline_ms = 10", "request_kinds", "stamp_check.deadline_ms",
     "shorter", "deadline_ms = 10\n"},
    {"max_deadline_ms = 60000", "max_deadline_ms = 4000", "request_kinds", "pal_match.deadline_ms",
     "limits", "[[request_kinds]]\nname = \"pal_match\""},
    {"name = \"w2\"", "name = \"w1\"", "workers", "w1", "declared twice",
     "{ name = \"w1\", address = \"127.0.0.1:9402\""},
    {":9402", ":9401", "workers", "w2.address", "another worker", "{ name = \"w2\""},
    {"127.0.0.1:9402", "worker-2:9402", "workers", "w2.address", "IP number", "worker-2:9402"},
    {"127.0.0.1:9402", "127.0.0.1:94020", "workers", "w2.address", "IP number", "94020"},
    {"rack = \"a-r1\"", "rack = \"b-r1\"", "workers", "w5.data_centre", "rack b-r1", "w5"},
    {"slots = 8", "slots = 0", "workers", "slots", "from 1", "slots = 0"},
    {"name = \"shops\"", "name = \"kiosks\"", "teams", "kiosks", "declared twice",
     "name = \"kiosks\"\nweight = 2.0\nmax_in_flight = 0\n\n[[teams]]\nname = \"office\""},
    {"name = \"office\"", "name = \"back office\"", "teams", "[2].name", "letters", "back office"},
    {"team = \"office\"", "team = \"nobody\"", "customers", "demo.team", "no team nobody",
     "nobody"},
    {"id = \"van-1\"", "id = \"demo\"", "customers", "demo", "declared twice",
     "id = \"demo\", team = \"office\""},
    {"account = \"accounts\"", "acount = \"accounts\"", "owners", "acount", "unknown key",
     "acount"},
    {"appends_per_second = 100", "appends_per_second = ", "", "", "", "appends_per_second"},
    {"[account]", "[limits.x]\ny = 1\n[account]", "limits", "x", "unknown key", "[limits.x]"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(document_parser)

// Guards against shipped example documents that the parser rejects.
BOOST_AUTO_TEST_CASE(examples_are_valid)
{
    for (const auto* name : {"daak_dost.toml", "lough_tapioca.toml", "demo.toml"}) {
        BOOST_TEST_CONTEXT(name)
        {
            const auto text = read_example(name);
            const auto parsed = document::parse(text);
            const auto findings = parsed ? std::string() : to_string(parsed.error());
            BOOST_REQUIRE_MESSAGE(parsed.has_value(), findings);
            BOOST_TEST(parsed.value().text() == text);
        }
    }
    const auto daak = parse_document(read_example("daak_dost.toml")).value();
    BOOST_TEST(daak.workers.size() == 50U);
    BOOST_TEST(daak.kinds.size() == 3U);
    BOOST_TEST(daak.workers[0].slots == 8U);
    BOOST_TEST(daak.workers[0].max_connections == 60U);
}

// Guards against errors that are not reported or are reported at the wrong place.
BOOST_AUTO_TEST_CASE(each_error_is_reported_at_its_place)
{
    const auto good = read_example("demo.toml");
    for (const auto& row : fault_rows) {
        BOOST_TEST_CONTEXT(row.from << " -> " << row.to)
        {
            const auto text = replaced(good, row.from, row.to);
            const auto parsed = parse_document(text);
            BOOST_REQUIRE(!parsed.has_value());
            const auto line = row.at.empty() ? 0U : line_of(text, row.at);
            const auto& all = parsed.error();
            const auto found = std::any_of(all.begin(), all.end(), [&](const finding& it) {
                return it.section == row.section && it.key == row.key && it.line == line &&
                       it.message.find(row.message) != std::string::npos;
            });
            BOOST_TEST(found, "expected line " << line << ", found\n" << to_string(all));
        }
    }
}

// Guards against a parser that stops at the first error, so that operators fix one per attempt.
BOOST_AUTO_TEST_CASE(all_errors_are_reported_together)
{
    auto text = read_example("demo.toml");
    text = replaced(text, "lease_ms = 5000", "lease_ms = 0");
    text = replaced(text, "retry_ratio = 0.1", "retry_ratio = 2");
    text = replaced(text, "team = \"office\"", "team = \"nobody\"");
    const auto parsed = parse_document(text);
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST(parsed.error().size() == 3U);
}

// Guards against a section edit that contains another team's section or breaks the whole document.
BOOST_AUTO_TEST_CASE(a_section_text_holds_its_section_only)
{
    const auto base = document::parse(read_example("demo.toml")).value();
    const std::string account = "[account]\nappends_per_second = 50\n";
    BOOST_TEST(base.with_section("account", account).has_value());
    BOOST_TEST(!base.with_section("account", account + "[limits]\nmax_tasks_per_job = 1\n"));
    BOOST_TEST(!base.with_section("account", "account = { appends_per_second = 50 }\n"));
    BOOST_TEST(!base.with_section("account", "account.appends_per_second = 50\n"));
    BOOST_TEST(!base.with_section("account", ""));
    BOOST_TEST(!base.with_section("accounts", account));
    const auto next = base.with_section("account", account).value();
    BOOST_TEST(next.settings()->account_appends_per_second == 50U);
    BOOST_TEST(parse_document(next.text()).value().account_appends_per_second == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
