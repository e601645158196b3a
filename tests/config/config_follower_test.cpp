#include "config/config_cluster.h"

#include "base/random.h"

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

using state = config_log_state;

constexpr auto in_force_target = 7s; // design.md, invariant 8

const std::string teams_without_office = "[[teams]]\nname = \"kiosks\"\n[[teams]]\nname = "
                                         "\"shops\"\n";
const std::string customers_without_office = "[customers]\nlist = [{ id = \"shop-01\", team = "
                                             "\"shops\" }]\n";
const std::string customers_with_office = "[customers]\nlist = [{ id = \"desk\", team = "
                                          "\"office\" }]\n";

// The record of an edit that another process appended to the log.
std::string raw_edit(std::string id, log_offset base, int rate)
{
    return encode(
        config_edit{std::move(id), "accounts", "account", base, config_cluster::rate_text(rate)});
}

struct fault_row {
    const char* fault;
    void (*run)(config_cluster&);
    bool is_log_kept = true; // all instances follow the log in the end
};

const fault_row fault_rows[] = {
    {"racing edits of the same section",
     [](config_cluster& c) {
         c.submit_rate(0, "a", 10);
         c.submit_rate(1, "b", 20);
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "accepted");
         BOOST_REQUIRE(c.reply("b") == "stale_base");
         BOOST_TEST(c.replies.at("b").value().current_edit_id == "a");
         BOOST_TEST(c.at(2).settings().account_appends_per_second == 10U);
     }},
    {"racing edits of different sections",
     [](config_cluster& c) {
         c.submit_rate(0, "a", 10);
         c.submit(1, "b", "dispatch", "limits", "[limits]\nmax_queued_tasks = 9\n");
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "accepted");
         BOOST_TEST(c.reply("b") == "accepted");
         BOOST_TEST(c.at(2).settings().limits.max_queued_tasks == 9U);
     }},
    {"edit by a team that does not own the section",
     [](config_cluster& c) {
         c.submit(0, "a", "dispatch", "account", config_cluster::rate_text(1));
         c.submit(1, "b", "accounts", "owners", "[owners]\n");
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "not_owner");
         BOOST_TEST(c.reply("b") == "not_owner");
     }},
    {"change of an owner",
     [](config_cluster& c) {
         auto owners =
             std::string(c.at(0).follower->state_machine().current().section_text("owners"));
         const std::string old_owner = "account = \"accounts\"";
         owners.replace(owners.find(old_owner), old_owner.size(), "account = \"dispatch\"");
         c.submit(0, "a", "platform", "owners", owners);
         c.run(in_force_target);
         c.submit_rate(1, "b", 10);
         c.submit(2, "c", "dispatch", "account", config_cluster::rate_text(20));
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "accepted");
         BOOST_TEST(c.reply("b") == "not_owner");
         BOOST_TEST(c.reply("c") == "accepted");
     }},
    {"invalid edit",
     [](config_cluster& c) {
         c.submit(0, "a", "accounts", "account", "[account]\n\nappends_per_second = 0\n");
         c.run(in_force_target);
         BOOST_REQUIRE(c.reply("a") == "invalid");
         BOOST_TEST(c.replies.at("a").value().findings.at(0).line == 3U);
     }},
    {"cross-section break by two edits that are valid alone",
     [](config_cluster& c) {
         c.submit(0, "a", "accounts", "customers", customers_without_office);
         c.run(in_force_target);
         c.submit(0, "b", "accounts", "teams", teams_without_office);
         c.submit(1, "c", "accounts", "customers", customers_with_office);
         c.run(in_force_target);
         BOOST_TEST(c.reply("b") == "accepted");
         BOOST_REQUIRE(c.reply("c") == "invalid");
         BOOST_TEST(c.replies.at("c").value().findings.at(0).section == "customers");
     }},
    {"cross-section break seen by an instance that started from a peer",
     [](config_cluster& c) {
         c.add();
         c.run(in_force_target);
         c.submit(0, "a", "accounts", "teams", teams_without_office);
         c.run(in_force_target);
         BOOST_REQUIRE(c.reply("a") == "invalid");
         const auto& found = c.replies.at("a").value().findings.at(0);
         const auto text = c.at(0).follower->state_machine().current().section_text(found.section);
         const auto end = text.begin() + static_cast<std::ptrdiff_t>(text.find("\"office\""));
         BOOST_TEST(found.line == 1 + std::count(text.begin(), end, '\n'));
     }},
    {"two first documents",
     [](config_cluster& c) {
         c.submit(0, "a", "platform", "*", read_example("lough_tapioca.toml"));
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "stale_base");
     }},
    {"append reply lost, and the log too slow to show the record before the repetition",
     [](config_cluster& c) {
         c.log.lose_append_replies(2);
         c.log.set_latency(5ms, 2500ms);
         c.submit_rate(0, "a", 10);
         c.run(20s);
         c.log.set_latency(5ms, 1ms);
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "accepted");
         BOOST_TEST(c.at(0).follower->counts().edits_repeated > 0U);
         BOOST_TEST(c.at(1).follower->state_machine().history().back().repeats > 0U);
     }},
    {"append request lost",
     [](config_cluster& c) {
         c.log.lose_append_requests(2);
         c.submit_rate(0, "a", 10);
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "accepted");
     }},
    {"repeated append of a refused edit that would be valid by now",
     [](config_cluster& c) {
         const auto base = c.at(0).follower->state_machine().version_of("account");
         c.submit(0, "a", "accounts", "teams", teams_without_office);
         c.run(in_force_target);
         const auto again = config_edit{"a", "accounts", "teams", base, teams_without_office};
         c.submit(0, "b", "accounts", "customers", customers_without_office);
         c.run(in_force_target);
         c.append_raw(encode(again));
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "invalid");
         BOOST_TEST(c.at(1).settings().teams.size() == 3U);
     }},
    {"retention drops the last record of a quiet section",
     [](config_cluster& c) {
         c.submit_rate(0, "a", 10);
         c.run(1h);
         c.log.set_retention(c.options.retention);
         for (auto left = 2 * c.options.retention; left > 0s; left -= 250ms) {
             c.run(250ms);
             // A new instance without peers must be able to start at any time.
             BOOST_REQUIRE(c.log.page("config").first_retained <=
                           c.reference.newest_snapshot()->next);
         }
         BOOST_TEST(c.log.page("config").first_retained > 2U);
         auto& fresh = c.add(false);
         c.run(in_force_target);
         BOOST_REQUIRE(fresh.follower->is_ready());
         BOOST_TEST(fresh.settings().account_appends_per_second == 10U);
         c.submit_rate(3, "b", 20);
         c.run(in_force_target);
         BOOST_TEST(c.reply("b") == "accepted");
     }},
    {"two snapshot writers at once",
     [](config_cluster& c) {
         const auto snapshot = encode(c.at(0).follower->state_machine().snapshot());
         c.submit_rate(0, "a", 10);
         c.run(in_force_target);
         c.append_raw(snapshot);
         c.append_raw(encode(c.at(0).follower->state_machine().snapshot()));
         c.append_raw(encode(c.at(1).follower->state_machine().snapshot()));
         c.log.drop_before("config", 2);
         auto& fresh = c.add(false);
         c.run(in_force_target);
         BOOST_TEST(fresh.settings().account_appends_per_second == 10U);
         BOOST_TEST(c.at(2).follower->counts().differing_snapshots == 0U);
     }},
    {"snapshot that contradicts the log",
     [](config_cluster& c) {
         auto snapshot = c.at(0).follower->state_machine().snapshot();
         snapshot.sections.back().text = config_cluster::rate_text(99);
         c.append_raw(encode(snapshot));
         c.run(in_force_target);
         BOOST_TEST(c.at(0).follower->counts().differing_snapshots == 1U);
         BOOST_TEST(c.at(1).settings().account_appends_per_second == 100U);
     }},
    {"malformed records",
     [](config_cluster& c) {
         c.append_raw("");
         c.append_raw("{\"type\":\"edit\"}");
         c.append_raw(std::string(5000, '['));
         c.submit_rate(0, "a", 10);
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "accepted");
         BOOST_TEST(c.at(1).follower->counts().malformed_records == 3U);
     }},
    {"log down for an hour",
     [](config_cluster& c) {
         c.log.set_down(true);
         c.submit_rate(0, "a", 10);
         c.run(1h);
         BOOST_TEST(c.reply("a") == "unavailable");
         BOOST_TEST(c.at(0).is(state::down));
         BOOST_TEST(c.at(0).follower->is_ready());
         c.submit_rate(0, "b", 20);
         c.log.set_down(false);
         c.run(in_force_target);
         BOOST_TEST(c.reply("b") == "accepted");
         BOOST_TEST(c.at(2).settings().account_appends_per_second == 20U);
     }},
    {"log down for some seconds while an edit is under way",
     [](config_cluster& c) {
         c.log.set_down(true);
         c.submit_rate(0, "a", 10);
         c.run(5s);
         c.log.set_down(false);
         c.run(in_force_target);
         BOOST_TEST(c.reply("a") == "accepted");
     }},
    {"log silent for an hour",
     [](config_cluster& c) {
         c.log.set_silent(true);
         c.submit_rate(0, "a", 10);
         c.run(1h);
         BOOST_TEST(c.reply("a") == "reply_lost");
         c.log.set_silent(false);
         c.submit_rate(0, "b", 20);
         c.run(in_force_target);
         BOOST_TEST(c.at(2).settings().account_appends_per_second == 20U);
     }},
    {"log rewound, then grown again with other edits",
     [](config_cluster& c) {
         c.submit_rate(0, "a", 10);
         c.run(in_force_target);
         c.log.rewind("config", 1);
         c.run(in_force_target);
         BOOST_TEST(c.at(0).is(state::regressed));
         c.submit_rate(0, "b", 20);
         for (int n = 0; n < 5; ++n) {
             c.append_raw(raw_edit(fmt::format("x{}", n), 0, 30 + n));
         }
         c.run(in_force_target);
         BOOST_TEST(c.reply("b") == "unavailable");
         BOOST_TEST(c.at(1).is(state::regressed));
         BOOST_TEST(c.at(1).settings().account_appends_per_second == 10U);
     },
     false},
    {"other content at a known offset, then new records",
     [](config_cluster& c) {
         const auto next = c.at(0).follower->state_machine().next_offset();
         c.log.replace("config", next - 1, raw_edit("x", 0, 50));
         c.append_raw(raw_edit("y", 0, 60));
         c.run(in_force_target);
         BOOST_TEST(c.at(0).is(state::regressed));
         BOOST_TEST(c.at(1).settings().account_appends_per_second == 100U);
     },
     false},
    {"other content at a known offset, and nothing new",
     [](config_cluster& c) {
         const auto next = c.at(0).follower->state_machine().next_offset();
         c.log.replace("config", next - 1, raw_edit("x", 0, 50));
         c.run(c.options.verify_interval + in_force_target);
         BOOST_TEST(c.at(0).is(state::regressed));
     },
     false},
    {"new instance on a rewound log, with peers that know more",
     [](config_cluster& c) {
         c.submit_rate(0, "a", 10);
         c.run(in_force_target);
         c.log.rewind("config", 1);
         auto& fresh = c.add();
         c.run(in_force_target);
         BOOST_REQUIRE(fresh.follower->is_ready());
         BOOST_TEST(fresh.settings().account_appends_per_second == 10U);
         BOOST_TEST(fresh.is(state::regressed));
         BOOST_TEST(*fresh.first == c.at(0).newest);
     },
     false},
    {"log shows an old end for a while",
     [](config_cluster& c) {
         c.submit_rate(0, "a", 10);
         c.run(in_force_target);
         const auto records = c.log.page("config").records;
         c.log.rewind("config", records.size() - 1);
         c.run(in_force_target);
         BOOST_TEST(c.at(0).is(state::regressed));
         c.append_raw(records.back().content);
         c.submit_rate(0, "b", 20);
         c.run(in_force_target);
         c.submit_rate(0, "c", 30);
         c.run(in_force_target);
         BOOST_TEST(c.reply("c") == "accepted");
     }},
    {"replaced instance starts from a peer while the log is down",
     [](config_cluster& c) {
         c.submit_rate(0, "a", 10);
         c.run(in_force_target);
         c.log.set_down(true);
         auto& fresh = c.add();
         c.run(in_force_target);
         BOOST_REQUIRE(fresh.follower->is_ready());
         BOOST_TEST(fresh.settings().account_appends_per_second == 10U);
         c.log.set_down(false);
         c.run(in_force_target);
         c.submit_rate(3, "b", 20);
         c.run(in_force_target);
         BOOST_TEST(c.reply("b") == "accepted");
     }},
    {"new instance with neither log nor peers",
     [](config_cluster& c) {
         auto& fresh = c.add(false, false);
         c.run(1min);
         BOOST_TEST(!fresh.follower->is_ready());
         fresh.set_disconnected(false, true);
         c.run(in_force_target);
         BOOST_TEST(fresh.follower->is_ready());
     }},
    {"log lost halfway through a first read",
     [](config_cluster& c) {
         for (int n = 0; n < 60; ++n) {
             c.append_raw(raw_edit(fmt::format("x{}", n), c.reference.version_of("account"), 9));
         }
         auto& fresh = c.add(false);
         c.timers.advance(1500us);
         fresh.set_disconnected(true, true);
         c.run(10s);
         BOOST_TEST(fresh.follower->state_machine().has_document());
         BOOST_TEST(!fresh.follower->is_ready());
         fresh.set_disconnected(false, true);
         c.run(in_force_target);
         BOOST_TEST(fresh.follower->is_ready());
     }},
    {"new instance without peers on a log without a snapshot of what was dropped",
     [](config_cluster& c) {
         c.log.drop_before("config", c.log.page("config").end);
         c.append_raw(raw_edit("a", c.reference.version_of("account"), 10));
         c.at(0).set_disconnected(true, true);
         auto& fresh = c.add(false);
         c.run(500ms);
         BOOST_TEST(!fresh.follower->is_ready());
         BOOST_TEST(fresh.is(state::gap));
         fresh.set_disconnected(false, false);
         c.at(0).set_disconnected(false, false);
         c.run(in_force_target);
         BOOST_TEST(fresh.settings().account_appends_per_second == 10U);
     }},
    {"instance lags behind what is retained",
     [](config_cluster& c) {
         c.at(2).set_disconnected(true, true);
         for (int n = 1; n < 100; ++n) {
             c.append_raw(raw_edit(fmt::format("x{}", n), c.reference.version_of("account"), n));
         }
         c.log.drop_before("config", c.log.page("config").end - 5);
         c.run(1min);
         BOOST_TEST(c.at(2).settings().account_appends_per_second == 100U);
         c.at(2).set_disconnected(false, true);
         c.run(in_force_target);
         BOOST_TEST(c.at(2).settings().account_appends_per_second == 99U);
     }},
    {"instance disconnected from the log but not from its peers",
     [](config_cluster& c) {
         c.at(2).set_disconnected(true, false);
         c.run(1min);
         c.submit_rate(0, "a", 10);
         c.run(in_force_target);
         BOOST_TEST(c.at(2).is(state::down));
         BOOST_TEST(c.at(2).settings().account_appends_per_second == 10U);
         c.at(2).set_disconnected(false, false);
         c.run(in_force_target);
     }},
    {"cold start on a log longer than two snapshot distances",
     [](config_cluster& c) {
         for (int n = 1; n < 150; ++n) {
             c.append_raw(raw_edit(fmt::format("x{}", n), c.reference.version_of("account"), n));
         }
         c.append_raw(encode(c.at(0).follower->state_machine().snapshot()));
         c.options.records_between_snapshots = 30;
         auto& fresh = c.add(false);
         c.run(in_force_target);
         BOOST_TEST(fresh.settings().account_appends_per_second == 149U);
         BOOST_TEST(fresh.follower->counts().records_applied <=
                    2 * c.options.records_between_snapshots);
     }},
};

std::unique_ptr<config_cluster> make_cluster()
{
    auto cluster = std::make_unique<config_cluster>();
    for (int n = 0; n < 3; ++n) {
        cluster->add();
    }
    cluster->submit(0, "first", "platform", "*", read_example("demo.toml"));
    cluster->run(in_force_target);
    BOOST_REQUIRE(cluster->reply("first") == "accepted");
    return cluster;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_follower_faults)

// Guards against reverts and disagreement under each single fault.
BOOST_AUTO_TEST_CASE(each_fault)
{
    for (const auto& row : fault_rows) {
        BOOST_TEST_CONTEXT(row.fault)
        {
            const auto cluster = make_cluster();
            row.run(*cluster);
            cluster->check_agreement();
            if (row.is_log_kept) {
                cluster->check_convergence();
            }
        }
    }
}

// Guards against combinations of faults that the table does not list.
BOOST_AUTO_TEST_CASE(random_faults)
{
    for (std::uint32_t seed = 1; seed <= 30; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_engine random(seed * 7919U);
            // If the log loses records, instances that started after the loss may disagree with
            // older ones, which is reported. Even then none may go back to an older version.
            const bool is_log_kept = seed % 3 != 0;
            const auto cluster = make_cluster();
            auto& c = *cluster;
            c.options.records_between_snapshots = 8;
            c.options.snapshot_delay_per_rank = 0s;
            int edits = 0;
            for (int step = 0; step < 250; ++step) {
                const auto n = draw_below(random, static_cast<std::uint32_t>(c.instances.size()));
                const auto id = fmt::format("e{}", edits);
                switch (draw_below(random, 14)) {
                case 0:
                    c.log.set_down(draw_below(random, 3) == 0);
                    break;
                case 1:
                    c.at(n).set_disconnected(draw_below(random, 2) == 0,
                                             draw_below(random, 2) == 0);
                    break;
                case 2:
                    c.log.lose_append_replies(1 + draw_below(random, 3));
                    break;
                case 3:
                    c.log.lose_append_requests(1 + draw_below(random, 3));
                    break;
                case 4:
                    c.log.set_latency(5ms, draw_below(random, 4) == 0 ? 2800ms : 1ms);
                    break;
                case 5:
                    // Only records that a snapshot covers; others would be lost permanently.
                    if (const auto mark = c.reference.newest_snapshot()) {
                        c.log.drop_before("config", mark->next);
                    }
                    break;
                case 6:
                    c.instances.erase(c.instances.begin() + n);
                    c.add(draw_below(random, 2) == 0);
                    break;
                case 7:
                    c.submit(n, id, "accounts", "teams", teams_without_office);
                    break;
                case 8:
                    c.submit(n, id, "accounts", "customers",
                             draw_below(random, 2) == 0 ? customers_with_office
                                                        : customers_without_office);
                    break;
                default:
                    c.submit_rate(n, id, static_cast<int>(draw_below(random, 301)));
                }
                if (!is_log_kept && draw_below(random, 40) == 0) {
                    c.log.rewind("config", c.log.page("config").end - 1);
                }
                ++edits;
                c.run(duration{draw_below(random, 4000) * 1000});
                if (is_log_kept) {
                    c.check_agreement();
                }
            }
            c.log.set_down(false);
            c.log.set_latency(5ms, 1ms);
            for (const auto& it : c.instances) {
                it->set_disconnected(false, false);
            }
            c.run(10s);
            if (is_log_kept) {
                c.check_convergence();
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
