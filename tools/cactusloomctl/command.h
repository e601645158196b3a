#pragma once

#include "http/http_client.h"

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
    std::string file;
    std::string section;
    std::string author;
    std::string archive;
    int deadline_ms = 0;
    int tries = 5;
    int tasks = 0;
    bool json = false;
    std::vector<std::string> arguments; // after the subcommand
};

// Sends one request and waits for its end.
struct reply {
    http_end end = http_end::reply_lost;
    unsigned status = 0;
    std::string body;
    std::string reason;
    std::string id_prefix;
};
reply exchange(const http_call& call);

// Waits without sending anything.
void pause(duration span);

int run_submit(const options& given);
int run_status(const options& given);

// Prints a JSON text as it is or as "name: value" lines, as --json says.
void print_reply(const std::string& body, bool json);

} // namespace cactusloom::ctl
