#include "daemon/settings.h"
#include "src/dispatch/dispatch_counts.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <regex>

using namespace cactusloom;

namespace {

std::string operations_page()
{
    std::ifstream in(EXAMPLES_DIR "/../docs/OPERATIONS.md");
    return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(operations_page_test)

// Guards against a flag that is missing in docs/OPERATIONS.md.
BOOST_AUTO_TEST_CASE(every_flag_is_on_the_page)
{
    const char* arguments[] = {"cactusloomd", "--help"};
    const auto settings = read_daemon_settings(2, arguments);
    BOOST_TEST_REQUIRE(settings.has_value());
    const std::string page = operations_page();
    const std::string& help = settings.value().help_text;
    const std::regex flag("--([a-z-]+)=");
    std::size_t n = 0;
    for (std::sregex_iterator it(help.begin(), help.end(), flag); it != std::sregex_iterator();
         ++it, ++n) {
        BOOST_TEST(page.find("`--" + (*it)[1].str() + "`") != std::string::npos, (*it)[1].str());
    }
    BOOST_TEST(n >= 10U);
}

// Guards against a counter that is missing in docs/OPERATIONS.md.
BOOST_AUTO_TEST_CASE(every_dispatch_counter_is_on_the_page)
{
    counters all;
    const dispatch_counts counts(all);
    const std::string page = operations_page();
    for (const auto& [name, value] : all.all()) {
        BOOST_TEST(page.find("`" + name + "`") != std::string::npos, name);
    }
    BOOST_TEST(all.all().size() >= 20U);
}

BOOST_AUTO_TEST_SUITE_END()
