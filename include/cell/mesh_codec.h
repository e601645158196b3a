#pragma once

#include "cell/crash_ledger.h"
#include "cell/instance_mesh.h"
#include "cell/job.h"

#include <json/value.h>

namespace cactusloom {

// JSON form of the messages between instances. Both sides run this project's code; a missing field
// takes its default, so that adjacent versions understand each other.
Json::Value encode_instance(const instance_address& it);
instance_address decode_instance(const Json::Value& value);
Json::Value encode_instances(const std::vector<instance_address>& instances);
std::vector<instance_address> decode_instances(const Json::Value& value);
Json::Value encode_claims(const std::vector<cell_claim>& claims);
std::vector<cell_claim> decode_claims(const Json::Value& value);
Json::Value encode_job(const job_request& job);
job_request decode_job(const Json::Value& value);
Json::Value encode_outcome(const job_outcome& outcome);
job_outcome decode_outcome(const Json::Value& value);
Json::Value encode_loss(const worker_loss& loss);
worker_loss decode_loss(const Json::Value& value);

} // namespace cactusloom
