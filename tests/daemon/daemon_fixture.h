#pragma once

#include "base/glib_timer_service.h"
#include "daemon/instance.h"
#include "http/http_client.h"
#include "http/json_text.h"
#include "stand_in/memory_instance_list.h"
#include "stand_in/memory_log.h"
#include "stand_in/platform_stand_in_server.h"
#include "stand_in/worker_stand_in_server.h"

#include <fstream>
#include <glib.h>
#include <iterator>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace cactusloom {

// A platform on loopback sockets and any number of instances, all on the event loop of the test.
class daemon_fixture {
public:
    explicit daemon_fixture(int worker_count = 4)
    {
        worker_behaviour behaviour;
        std::string entries;
        for (int n = 0; n < worker_count; ++n) {
            workers.push_back(std::make_shared<worker_stand_in>(timers, behaviour));
            servers.push_back(
                std::move(worker_stand_in_server::listen("127.0.0.1:0", timers, workers.back()))
                    .value());
            entries += "    { name = \"w" + std::to_string(n + 1) + "\", address = \"" +
                       servers.back()->address() + "\", rack = \"r1\", data_centre = \"a\" },\n";
        }
        log.set_latency(duration::zero(), duration::zero());
        platform =
            std::move(platform_stand_in_server::listen("127.0.0.1:0", timers, log, list)).value();
        write_document(entries);
    }

    ~daemon_fixture() { (void)unlink(document_path.c_str()); }
    daemon_fixture(const daemon_fixture&) = delete;
    daemon_fixture& operator=(const daemon_fixture&) = delete;

    daemon_settings settings(const std::string& name) const
    {
        daemon_settings it;
        it.name = name;
        it.data_centre = "a";
        it.listen = "127.0.0.1:0";
        it.config = document_path;
        it.log_address = platform->address();
        it.list_address = platform->address();
        return it;
    }

    // Starts an instance, adds it to the instance list and waits until it is ready.
    instance& start(const std::string& name)
    {
        auto made = instance::start(settings(name), timers);
        instances.push_back(std::move(made).value());
        instance& it = *instances.back();
        listed.push_back({name, "a", it.address(), false});
        list.set_instances(listed);
        while (ask("GET", it.address(), "/v1/ready").status != 200) {
        }
        return it;
    }

    struct answer {
        http_outcome end = http_outcome::reply_lost;
        unsigned status = 0;
        std::string text;
        Json::Value body;
        std::string prefix;
    };

    answer ask(const std::string& method, const std::string& address, const std::string& target,
               const std::string& body = "")
    {
        answer found;
        bool done = false;
        send(method, address, target, body, [&](const http_reply& reply) {
            found = to_answer(reply);
            done = true;
        });
        while (!done) {
            g_main_context_iteration(nullptr, TRUE);
        }
        return found;
    }

    void send(const std::string& method, const std::string& address, const std::string& target,
              const std::string& body, http_client::callback done)
    {
        http_call call;
        call.method = method;
        call.address = address;
        call.target = target;
        call.body = body;
        call.limit = std::chrono::seconds{60};
        client.send(call, std::move(done));
    }

    static answer to_answer(const http_reply& reply)
    {
        answer found{reply.end, reply.status, reply.body, {}, reply.header("Cactusloom-Id-Prefix")};
        if (const auto root = parse_json(reply.body)) {
            found.body = root.value();
        }
        return found;
    }

    std::string prefix_of(const instance& it)
    {
        return ask("GET", it.address(), "/v1/prefix").prefix;
    }

    // Body of a request for a member in examples/demo.toml.
    static std::string request(const std::string& id, const std::string& payload = "letter")
    {
        return R"({"id":")" + id + R"(","customer":"kiosk-01","kind":"stamp_check","payload":")" +
               payload + "\"}";
    }

    int starts_of(const std::string& id) const
    {
        int found = 0;
        for (const auto& it : workers) {
            for (const auto& [task, count] : it->starts()) {
                found += task.starts_with(id) ? count : 0;
            }
        }
        return found;
    }

    void set_behaviour(const worker_behaviour& behaviour)
    {
        for (const auto& it : workers) {
            it->set_behaviour(behaviour);
        }
    }

    glib_timer_service timers;
    memory_log log{timers};
    memory_instance_list list{timers};
    std::vector<std::shared_ptr<worker_stand_in>> workers;
    std::vector<std::unique_ptr<worker_stand_in_server>> servers;
    std::unique_ptr<platform_stand_in_server> platform;
    std::string document_path;
    std::vector<listed_instance> listed;
    std::vector<std::unique_ptr<instance>> instances;
    http_client client{timers, {}};

private:
    // Writes examples/demo.toml with the addresses of this platform's workers to a temporary file.
    void write_document(const std::string& entries)
    {
        std::ifstream in(EXAMPLES_DIR "/demo.toml");
        std::string text{std::istreambuf_iterator<char>(in), {}};
        const auto from = text.find("list = [\n", text.find("[workers]")) + 9;
        text.replace(from, text.find("\n]", from) + 1 - from, entries);
        char path[] = "/tmp/cactusloom-test-XXXXXX";
        const int file = mkstemp(path);
        document_path = path;
        std::ofstream(document_path) << text;
        close(file);
    }
};

} // namespace cactusloom
