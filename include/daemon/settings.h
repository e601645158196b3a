#pragma once

#include "base/result.h"
#include "base/time.h"

#include <string>

namespace cactusloom {

// Settings of one instance, from flags and environment variables.
struct daemon_settings {
    std::string name = "instance-1";
    std::string data_centre = "dc-1";
    std::string listen = "127.0.0.1:7400"; // "ip:port" for callers and peers
    std::string advertise;                 // "ip:port" given to peers; `listen` if empty
    std::string config;                    // TOML file to publish if the log is empty
    std::string log_address;               // "ip:port" of the log; empty: in-memory stand-in
    std::string list_address;              // "ip:port" of the instance list; empty: none
    std::string worker_mode = "auto";      // "http", "embedded", or "auto" (by log_address)
    std::string account_mode = "log";      // "log" or "off"
    std::string id_key = "cactusloom";     // must be equal on all instances of a deployment
    int shutdown_seconds = 60;
    int max_connections = 4096;
    bool help = false;
    bool version = false;
    std::string help_text;
};

// Reads the command line. A flag --some-name takes precedence over the environment variable
// CACTUSLOOM_SOME_NAME. Error `invalid_argument`: unknown flag, unexpected argument, or a number
// that is malformed or out of range.
result<daemon_settings> read_daemon_settings(int argc, const char** argv);

} // namespace cactusloom
