#include "config/document_diff.h"

#include "config/document.h"
#include "config/example_text.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;

BOOST_AUTO_TEST_SUITE(document_diff)

// Guards against a diff that lists unchanged lines or wrong line numbers.
BOOST_AUTO_TEST_CASE(only_changed_lines_are_listed)
{
    BOOST_TEST(to_string(diff_lines("a\nb\nc\nd\n", "a\nx\nc\nd\ne\n")) == "2: -b\n2: +x\n5: +e\n");
    BOOST_TEST(to_string(diff_lines("a\nb\n", "b\na\n")) == "1: -a\n2: +a\n");
    BOOST_TEST(diff_lines("a\n", "a").empty());
    BOOST_TEST(to_string(diff_lines("", "a")) == "1: +a\n");
}

// Guards against quadratic time on texts that have nothing in common.
BOOST_AUTO_TEST_CASE(large_rewrites_are_reported_as_replaced)
{
    std::string before;
    std::string after;
    for (int n = 0; n < 2000; ++n) {
        before += "a" + std::to_string(n) + "\n";
        after += "b" + std::to_string(n) + "\n";
    }
    BOOST_TEST(diff_lines(before, after).size() == 4000U);
}

// Guards against changes that lack the section, which operators need to find them.
BOOST_AUTO_TEST_CASE(documents_are_compared_by_section)
{
    const auto before = document::parse(read_example("demo.toml")).value();
    const auto after =
        before.with_section("account", "[account]\nappends_per_second = 50\n").value();
    BOOST_TEST(to_string(diff_documents(before, after)) ==
               "account:2: -appends_per_second = 100\naccount:2: +appends_per_second = 50\n");
}

BOOST_AUTO_TEST_SUITE_END()
