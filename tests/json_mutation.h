#pragma once

#include "http/json_text.h"

#include <array>
#include <cstdint>
#include <json/value.h>
#include <random>
#include <string>

namespace cactusloom {

// Changes records as another writer may leave them: values of other types or out of range, missing
// fields, deep nesting, and texts that are cut off or have other bytes. The same seed gives the
// same records.
class json_mutator {
public:
    explicit json_mutator(std::uint32_t seed) : random_(seed) {}

    // Replaces or removes one to three values.
    Json::Value mutate(Json::Value value)
    {
        for (auto n = 1 + below(3); n > 0; --n) {
            replace_one(value);
        }
        return value;
    }

    // The same as text, of which every fourth has changed bytes too.
    std::string mutate_text(const Json::Value& value)
    {
        auto text = write_json(mutate(value));
        if (below(4) == 0 && !text.empty()) {
            text[below(text.size())] = static_cast<char>(below(256));
            text.resize(text.size() - below(1 + text.size() / 4));
        }
        return text;
    }

    std::size_t below(std::size_t limit) { return random_() % limit; }

private:
    Json::Value odd_value()
    {
        static const std::array texts = {"null",
                                         "true",
                                         "-1",
                                         "0.5",
                                         "1e300",
                                         "-1e300",
                                         "9223372036854775807",
                                         "70000",
                                         "2e18",
                                         "\"\"",
                                         "[]",
                                         "[1,\"a\",{}]",
                                         "{}",
                                         "18446744073709551615",
                                         "\"a\\nevent=forged\"",
                                         "\"10.0.0.1:70000\"",
                                         "-9223372036854775808",
                                         "4294967296"};
        if (below(16) == 0) {
            Json::Value nested;
            for (int i = 0; i < 200; ++i) {
                Json::Value outer(Json::arrayValue);
                outer.append(nested);
                nested = std::move(outer);
            }
            return nested;
        }
        return parse_json(texts[below(texts.size())]).value();
    }

    void replace_one(Json::Value& value)
    {
        if (value.empty() || (!value.isObject() && !value.isArray()) || below(24) == 0) {
            value = odd_value();
            return;
        }
        const auto i = below(value.size());
        if (value.isObject()) {
            const auto name = value.getMemberNames()[i];
            if (below(8) == 0) {
                value.removeMember(name);
                return;
            }
            replace_one(value[name]);
            return;
        }
        replace_one(value[static_cast<Json::ArrayIndex>(i)]);
    }

    std::mt19937 random_;
};

} // namespace cactusloom
