#include "base/log.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;

BOOST_AUTO_TEST_SUITE(log_lines)

// Guards against a text of another program, such as the key of a record, that forges a log line.
BOOST_AUTO_TEST_CASE(control_characters_do_not_end_a_line)
{
    BOOST_TEST(escape_control_characters("worker=a\ntime=0 event=forged\r\t\x7f") ==
               "worker=a\\x0atime=0 event=forged\\x0d\\x09\\x7f");
    BOOST_TEST(escape_control_characters("id=\xc3\xa9 \"b\"") == "id=\xc3\xa9 \"b\"");
}

BOOST_AUTO_TEST_SUITE_END()
