#pragma once

#include "base/result.h"
#include "base/time.h"

#include <string>

namespace cactusloom {

// Settings of one instance, from flags and the environment.
struct daemon_settings {
    std::string name = "instance-1";
    std::string data_centre = "dc-1";
    std::string listen = "127.0.0.1:7400"; // "ip:port" of the caller API and the peers
    std::string advertise;                 // address for peers and callers; `listen` if empty
    std::string config;                    // TOML file that is published to an empty log
    std::string log_address;               // platform log; empty for the embedded stand-in
    std::string list_address;              // platform instance list; empty for none
    std::string worker_mode = "auto";      // "http", "embedded", or "auto" (by log_address)
    std::string account_mode = "log";      // "log" or "off"
    std::string id_key = "cactusloom";     // same for all instances of a deployment
    int shutdown_seconds = 60;
    int max_connections = 4096;
    bool help = false;
    bool version = false;
    std::string help_text;
};

// Reads the command line. Each flag --some-name has the variable CACTUSLOOM_SOME_NAME; the flag
// wins. Error `invalid_argument`: unknown flag, stray argument or malformed number.
result<daemon_settings> read_daemon_settings(int argc, const char** argv);

} // namespace cactusloom
