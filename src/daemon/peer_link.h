#pragma once

#include "config/config_peer_source.h"
#include "http/peer_rpc.h"
#include "membership/failure_detector.h"

#include <memory>

namespace cactusloom {

class instance_list;

// This instance's place among the others: failure detector, RPC to peers, and hints from the
// platform's list.
class peer_link final : public config_peer_source {
public:
    // `list` may be null. Timers and list must outlive the link.
    peer_link(timer_service& timers, member self, std::uint32_t seed, instance_list* list);
    ~peer_link() override;

    void start();

    failure_detector& detector() { return detector_; }
    const failure_detector& detector() const { return detector_; }
    const member_table& members() const { return detector_.members(); }

    // Asks a few reachable members for their configuration.
    void fetch(log_offset newer_than, callback done) override;

private:
    void read_list();

    timer_service& timers_;
    instance_list* list_;
    peer_rpc_client client_;
    failure_detector detector_;
    random_engine random_;
    timer_id list_timer_ = 0;
};

} // namespace cactusloom
