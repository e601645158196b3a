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
    exit_unknown = 3, // the outcome is not known; check before submitting under a new id
    exit_unreachable = 4,
};

// What the flags before and after the subcommand say.
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

// Sends one request and waits for its end.
struct reply {
    http_outcome end = http_outcome::reply_lost;
    unsigned status = 0;
    std::string body;
    std::string reason;
    std::string id_prefix;
};
reply exchange(const http_call& call);

// Waits without sending anything.
void pause(duration span);

int run_submit(const options& given);
int run_job(const options& given);
int run_prefix(const options& given);
int run_ready(const options& given);
int run_status(const options& given);
int run_config(const options& given);
int run_account(const options& given);

// Sends a GET and prints the reply. Exit code by the HTTP status.
int print_resource(const options& given, const std::string& target);

// Reads a file, or gives nothing and says why.
std::optional<std::string> read_file(const std::string& path);

// Prints a JSON text as it is or as "name: value" lines, as --json says.
void print_reply(const std::string& body, bool json);

} // namespace cactusloom::ctl
