#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cactusloom {

// Topics of keyed records that the platform keeps.
enum class keyed_topic { configuration, workers, instances };

// Value of a key, or its removal.
struct keyed_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

struct keyed_page {
    enum class status { ok, trimmed, failed };
    status state = status::failed;
    std::vector<keyed_record> records;
    std::uint64_t end = 0;  // offset after the last record of the topic
    std::uint64_t next = 0; // read() only: offset after the last record of this page
    bool has_more = false;  // newest() only: continue after `last_key`
    std::string last_key;   // newest() only: of the page, even if its record cannot be read
};

// Access to the platform's log of keyed records. Callbacks run exactly once, later on the event
// loop.
class keyed_log {
public:
    using callback = std::function<void(keyed_page)>;

    keyed_log() = default;
    keyed_log(const keyed_log&) = delete;
    keyed_log& operator=(const keyed_log&) = delete;
    virtual ~keyed_log() = default;

    // Reads records from an offset on; waits up to `wait` for the first one. `trimmed`: some of the
    // requested records have been deleted.
    virtual void read(keyed_topic topic, std::uint64_t from, duration wait, callback fn) = 0;

    // Reads the newest record of each key after `after`, in pages ordered by key.
    virtual void newest(keyed_topic topic, const std::string& after, callback fn) = 0;

    // Sets the value of a key; `fn` gets true once it is stored.
    virtual void put(keyed_topic topic, const std::string& key, const std::string& value,
                     std::function<void(bool)> fn) = 0;
};

} // namespace cactusloom
