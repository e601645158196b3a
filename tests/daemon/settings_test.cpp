#include "daemon/settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <vector>

using namespace cactusloom;

namespace daemon_flags {

result<daemon_settings> read(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "cactusloomd");
    const int count = static_cast<int>(arguments.size());
    arguments.push_back(nullptr);
    return read_daemon_settings(count, arguments.data());
}

} // namespace daemon_flags

BOOST_AUTO_TEST_SUITE(daemon_flags)

// Guards against an environment variable that overrides a flag.
BOOST_AUTO_TEST_CASE(flag_wins_over_the_environment)
{
    setenv("CACTUSLOOM_DATA_CENTRE", "from-environment", 1);
    BOOST_TEST(read({}).value().data_centre == "from-environment");
    BOOST_TEST(read({"--data-centre", "from-flag"}).value().data_centre == "from-flag");
    unsetenv("CACTUSLOOM_DATA_CENTRE");
}

// Guards against invalid settings that are accepted silently.
BOOST_AUTO_TEST_CASE(faults)
{
    BOOST_TEST(!read({"--no-such-flag"}));
    BOOST_TEST(!read({"stray"}));
    BOOST_TEST(!read({"--max-connections", "many"}));
    BOOST_TEST(!read({"--max-connections", "0"}));
    BOOST_TEST(!read({"--name"}));
    setenv("CACTUSLOOM_SHUTDOWN_SECONDS", "-1", 1);
    BOOST_TEST(!read({}));
    unsetenv("CACTUSLOOM_SHUTDOWN_SECONDS");
    BOOST_TEST(read({"--help"}).value().help_text.find("--listen") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
