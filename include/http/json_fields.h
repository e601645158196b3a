#pragma once

#include "base/time.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>

namespace cactusloom {

// Numbers from `least` to `most`, both included.
template<typename Number>
struct value_range {
    Number least;
    Number most;
};

// Large enough for every amount and time in use, and small enough that sums and conversions of
// units cannot overflow.
inline constexpr value_range<std::int64_t> any_amount{0, std::int64_t{1} << 40};
// Times of a steady or a Unix clock, in ms.
inline constexpr value_range<std::int64_t> any_clock{0, std::int64_t{1} << 50};

// Reads the fields of a JSON object that another program has written. A field of another type, or
// with a number outside of the given range, counts as absent and is reported by `defect`. A value
// that is no object has no fields. The value must outlive the reader.
class json_fields {
public:
    explicit json_fields(const Json::Value& value);

    // Text of a string; empty if absent.
    std::string text(const char* name);

    // Integer; a number with decimals is truncated.
    std::int64_t integer(const char* name, value_range<std::int64_t> range,
                         std::int64_t otherwise = 0);

    // Integers without a sign, in the whole range of their type.
    std::uint32_t count(const char* name, std::uint32_t otherwise = 0);
    std::uint64_t number(const char* name, std::uint64_t otherwise = 0);

    double real(const char* name, value_range<double> range, double otherwise = 0);
    bool flag(const char* name);

    // Time span that is written as a number of `unit`.
    duration span(const char* name, duration unit, duration otherwise = duration::zero());

    // Elements of an array; none if absent.
    const Json::Value& array(const char* name);

    // Value of a field of any type; null if absent.
    const Json::Value& value(const char* name) const;

    bool has(const char* name) const;

    // Name of the first field that was read and has another type or range; empty if there is none.
    std::string_view defect() const { return defect_; }

private:
    void note_defect(const char* name);

    const Json::Value& value_;
    std::string_view defect_;
};

// The number in a JSON value, truncated, or `otherwise` if it is no number of the range.
std::int64_t integer_of(const Json::Value& value, value_range<std::int64_t> range,
                        std::int64_t otherwise);

// The text in a JSON value; empty if it is no string.
std::string text_of(const Json::Value& value);

} // namespace cactusloom
