#pragma once

#include "base/error.h"

#include <boost/outcome/result.hpp>

namespace cactusloom {

// Either a value or an error. Accessing the absent one terminates the process.
template<typename T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

// Creates the error of a result.
inline auto failure(errc code, std::string message)
{
    return boost::outcome_v2::failure(error{code, std::move(message)});
}

} // namespace cactusloom
