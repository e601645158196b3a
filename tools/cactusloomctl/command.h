#pragma once

#include "http/http_client.h"

#include <optional>
#include <string>
#include <vector>

namespace cactusloom::ctl {

// Exit codes, as --help lists them.
enum exit_code {
    exit_ok = 0,
    exit_failed = 1,  // the answer is a failure, or a check found problems
    exit_usage = 2,   // wrong arguments
    exit_unknown = 3, // unknown outcome; check before submitting with a new id
    exit_unreachable = 4,
};

// Values of the flags before and after the subcommand.
struct options {
    std::string address = "127.0.0.1:7400";
    std::string customer;
    std::string kind;
    std::string id;
    std::string section;
    std::string author;
    std::string archive;
    std::string log_address;
    int deadline_ms = 0;
    int wait_ms = 0;
    int tries = 5;
    bool json = false;
    std::vector<std::string> arguments; // after the subcommand
};

// Outcome of a request.
struct reply {
    http_outcome end = http_outcome::reply_lost;
    unsigned status = 0;
    std::string body;
    std::string reason;
    std::string id_prefix;
};
// Sends one request and waits for its outcome.
reply exchange(const http_call& call);

// Sleeps without running the event loop.
void pause(duration span);

int run_submit(const options& given);
int run_job(const options& given);
int run_prefix(const options& given);
int run_ready(const options& given);
int run_status(const options& given);
int run_config(const options& given);
int run_account(const options& given);

// Sends a GET request and prints the reply. The exit code follows from the HTTP status.
int print_resource(const options& given, const std::string& target);

// Reads a file; prints the reason and returns nullopt on failure.
std::optional<std::string> read_file(const std::string& path);

// Prints a JSON text unchanged (`json`) or as "name: value" lines.
void print_reply(const std::string& body, bool json);

} // namespace cactusloom::ctl
