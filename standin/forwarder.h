// forwarder: carries the traffic between daemons and cuts chosen links. Each
// VM advertises an address of the forwarder as its peer address.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "include/config/settings.h"

namespace pistachioweir::standin {

// A VM's two addresses: `advertised` is the forwarder's own, `actual` is the
// daemon's.
struct forwarded_vm {
  std::string vm;
  endpoint advertised;
  endpoint actual;
};

// Owns a thread. Thread-safe.
class forwarder {
 public:
  // `pid_of` names the process of a VM's daemon, by which the forwarder finds
  // who opened a connection; called on the forwarder's thread.
  explicit forwarder(std::function<pid_t(const std::string&)> pid_of);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  void Add(const forwarded_vm& vm);

  // From now on nothing sent by `from` reaches `to`, on TCP or UDP, whoever
  // opened the connection. Nobody is told, as on a real network.
  void Cut(const std::string& from, const std::string& to);
  void CutBothWays(const std::string& a, const std::string& b);
  // Lifts all cuts. Connections that lost bytes stay silent for good.
  void HealAll();
  // All connections that are open now go silent for good; new ones work.
  void SilenceOpen();

 private:
  class network;
  std::unique_ptr<network> network_;
};

}  // namespace pistachioweir::standin
