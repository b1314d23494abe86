// target: the stand-in's server of one VM. Runs requests in a number of slots,
// calls further services through the daemon beside it, and records every
// execution.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>

#include "include/base/time.h"
#include "standin/http_client.h"
#include "standin/http_server.h"
#include "standin/record_file.h"
#include "standin/target_config.h"

namespace pistachioweir::standin {

struct target_options {
  std::string vm;
  std::string service;
  endpoint local;       // Of the daemon beside it, for calls down the chain.
  std::string records;  // File of JSON lines; nowhere if empty.
  std::uint64_t seed = 1;
};

// One thread runs `io` and calls all members.
class target {
 public:
  target(boost::asio::io_context& io,
         target_options options,
         target_config config);

  // Both ports' handlers; the control port takes PUT /config (members of
  // target_config) and GET /state.
  void Serve(const std::shared_ptr<http_exchange>& exchange);
  void Control(const std::shared_ptr<http_exchange>& exchange);

 private:
  class execution;

  void Admit(const std::shared_ptr<http_exchange>& exchange);
  void StartWaiting();
  void Finished(const std::shared_ptr<execution>& ended);
  void Record(const execution& what, const char* event);
  // Drawn from the method's distribution, with what slows the target now.
  [[nodiscard]] duration DrawServiceTime(const target_method& method);
  [[nodiscard]] std::string Health() const;

  boost::asio::io_context& io_;
  target_options options_;
  target_config config_;
  record_file records_;
  http_client client_;
  std::mt19937_64 random_;
  time_point started_ = monotonic_clock::now();
  std::deque<std::shared_ptr<execution>> queue_;
  // At most config_.slots, unless that was lowered meanwhile.
  std::unordered_set<std::shared_ptr<execution>> running_;
};

}  // namespace pistachioweir::standin
