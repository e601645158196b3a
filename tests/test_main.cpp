#define BOOST_TEST_MODULE cactusloom
#include <boost/test/unit_test.hpp>
