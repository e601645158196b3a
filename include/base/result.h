#pragma once

#include "base/error.h"

#include <boost/outcome/result.hpp>

namespace cactusloom {

// Either a value or an error. Reading the side that is not there terminates the process.
template<typename T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

// Makes the error side of a result.
inline auto failure(errc code, std::string message)
{
    return boost::outcome_v2::failure(error{code, std::move(message)});
}

} // namespace cactusloom
