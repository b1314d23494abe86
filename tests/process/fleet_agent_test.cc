// Tests of fleet_agent over real sockets on loopback, beside a platform and
// peer ports that the test serves itself.
#include "include/fleet/fleet_agent.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include "standin/http_server.h"
#include "standin/platform_store.h"

namespace pistachioweir {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

constexpr seconds kLimit{20};
constexpr char kKey[] = "a-key-of-sixteen-or-more";

bool WaitUntil(const std::function<bool()>& holds) {
  const time_point end = monotonic_clock::now() + kLimit;
  while (!holds() && monotonic_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return holds();
}

std::uint16_t FreePort() {
  asio::io_context io;
  const tcp::acceptor acceptor(
      io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

std::string ManifestText(std::uint64_t version) {
  return R"({"service": "a", "version": )" + std::to_string(version) +
         R"(, "slots": 8, "connections": 64, "refusal_is_not_executed": true,
             "methods": [{"name": "run", "level": "normal", "timeout_ms": 100,
                          "max_timeout_ms": 200, "retry_credit": 1}]})";
}

// An io_context with a thread of its own.
class io_thread {
 public:
  io_thread() : work_(io_.get_executor()), thread_([this] { io_.run(); }) {}
  ~io_thread() {
    io_.stop();
    thread_.join();
  }
  asio::io_context& io() { return io_; }

 private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

// The platform's documents, read without watches.
class fake_platform {
 public:
  fake_platform()
      : server_(thread_.io(),
                {.ip = "127.0.0.1", .port = 0},
                [this](const auto& exchange) { Serve(exchange); }) {}

  void Run(const std::function<void(standin::platform_store&)>& change) {
    std::promise<void> done;
    asio::post(thread_.io(), [&] {
      change(store_);
      done.set_value();
    });
    done.get_future().wait();
  }

  [[nodiscard]] endpoint address() const { return server_.address(); }

 private:
  void Serve(const std::shared_ptr<standin::http_exchange>& exchange) {
    const std::string prefix = "/v1/documents/";
    std::string key = exchange->request().target.substr(prefix.size());
    key = key.substr(0, key.find('?'));
    const auto document = store_.Find(key);
    if (store_.mode() == standin::platform_mode::kDown) {
      exchange->Close();
    } else if (!document) {
      exchange->Respond({.status = 404});
    } else {
      exchange->Respond(
          {.status = 200,
           .headers = {{"Revision", std::to_string(document->revision)}},
           .body = document->body});
    }
  }

  standin::platform_store store_;
  io_thread thread_;
  standin::http_server server_;
};

// One daemon's agent and its peer port.
class agent_host {
 public:
  agent_host(const std::string& vm,
             const endpoint& peer,
             const endpoint& platform,
             std::uint64_t incarnation,
             const std::string& key = kKey)
      : agent_(thread_.io(),
               {.settings = {.vm = vm,
                             .service = "a",
                             .data_centre = "dc",
                             .region = "r",
                             .peer = peer,
                             .platform = {platform},
                             .fleet_keys = {key}},
                .incarnation = incarnation_id{incarnation},
                .fleet_size_hint = 3}),
        server_(rpc_.io(), peer, [this](const auto& exchange) {
          exchange->Respond(
              {.status = 200,
               .body = agent_.HandleRpc(exchange->request().body)});
        }) {
    agent_.Start();
  }

  fleet_agent& agent() { return agent_; }
  // Keeps the agent's thread busy, as a busy VM does.
  void Occupy(milliseconds span) {
    asio::post(thread_.io(), [span] { std::this_thread::sleep_for(span); });
  }
  [[nodiscard]] std::uint64_t Version() const {
    const service_manifest* manifest = agent_.View()->FindManifest("a");
    return manifest == nullptr ? 0 : manifest->version;
  }
  [[nodiscard]] bool Ready() const { return agent_.View()->ready; }
  [[nodiscard]] bool Sees(const std::string& vm, member_state state) const {
    const fleet_service* service = agent_.View()->Find("a");
    for (const fleet_target& target : service->targets) {
      if (target.vm == vm && target.incarnation && target.state == state) {
        return true;
      }
    }
    return false;
  }

 private:
  io_thread thread_;
  io_thread rpc_;
  fleet_agent agent_;
  standin::http_server server_;
};

class fleet_agent_test : public testing::Test {
 protected:
  fleet_agent_test() {
    std::string list;
    for (int i = 0; i < 3; ++i) {
      peers_.push_back({.ip = "127.0.0.1", .port = FreePort()});
      list += std::string(i == 0 ? "" : ",") + R"({"vm": "vm-)" +
              std::to_string(i) +
              R"(", "data_centre": "dc", "region": "r", "state": "live",
                 "caller": "127.0.0.1:1", "peer": ")" +
              ToString(peers_.back()) + "\"}";
    }
    platform_.Run([&](standin::platform_store& store) {
      store.Put("manifest/a", ManifestText(1));
      store.Put("live/a", R"({"vms": [)" + list + "]}");
    });
    for (std::size_t i = 0; i < 3; ++i) {
      StartHost(i, 100 + i);
    }
  }

  void StartHost(std::size_t i,
                 std::uint64_t incarnation,
                 const std::string& key = kKey) {
    hosts_[i] =
        std::make_unique<agent_host>("vm-" + std::to_string(i), peers_[i],
                                     platform_.address(), incarnation, key);
  }

  [[nodiscard]] bool AllReady() const {
    return hosts_[0]->Ready() && hosts_[1]->Ready() && hosts_[2]->Ready();
  }

  [[nodiscard]] std::string Describe() const {
    std::string text;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const fleet_counters counted = hosts_[i]->agent().Counters();
      text += "vm-" + std::to_string(i) + " at " + ToString(peers_[i]) +
              " ready=" + std::to_string(hosts_[i]->Ready()) +
              " version=" + std::to_string(hosts_[i]->Version()) +
              " datagrams sent=" + std::to_string(counted.datagrams_sent) +
              " received=" + std::to_string(counted.datagrams_received) +
              " forged=" + std::to_string(counted.datagrams_forged) +
              " platform reads=" + std::to_string(counted.platform_reads) +
              " sees";
      const auto view = hosts_[i]->agent().View();
      const fleet_service* service = view->Find("a");
      for (std::size_t j = 0; service != nullptr && j < service->targets.size();
           ++j) {
        const fleet_target& target = service->targets[j];
        text += " " + target.vm + "/" +
                std::to_string(static_cast<std::uint64_t>(
                    target.incarnation.value_or(incarnation_id{}))) +
                "/" + std::string(kMemberStateNames.Name(target.state));
      }
      text += "\n";
    }
    return text;
  }

  std::vector<endpoint> peers_;
  fake_platform platform_;
  std::array<std::unique_ptr<agent_host>, 3> hosts_;
};

TEST_F(fleet_agent_test, AgentsFindEachOtherAndTakeAChange) {
  ASSERT_TRUE(WaitUntil([&] { return AllReady(); }));
  EXPECT_TRUE(WaitUntil([&] {
    return hosts_[0]->Sees("vm-1", member_state::kLive) &&
           hosts_[0]->Sees("vm-2", member_state::kLive);
  }));
  platform_.Run([](standin::platform_store& store) {
    store.Put("manifest/a", ManifestText(2));
  });
  EXPECT_TRUE(WaitUntil([&] {
    return hosts_[0]->Version() == 2 && hosts_[1]->Version() == 2 &&
           hosts_[2]->Version() == 2;
  }));
}

// An idle daemon gets a planned stop and is gone milliseconds later. Unless its
// peers are told before that, its callers learn of it by failed calls.
TEST_F(fleet_agent_test, AStopRightAfterLeavingStillTellsPeers) {
  ASSERT_TRUE(WaitUntil([&] {
    return AllReady() && hosts_[0]->Sees("vm-2", member_state::kLive);
  })) << Describe();
  hosts_[2]->Occupy(milliseconds(100));
  hosts_[2]->agent().Leave();
  hosts_[2]->agent().Stop();
  hosts_[2].reset();
  EXPECT_TRUE(WaitUntil(
      [&] { return hosts_[0]->Sees("vm-2", member_state::kLeaving); }));
}

// The same on a VM so busy that the daemon's own thread gets no turn for a
// second. A daemon that gives up waiting for it leaves without a word, and its
// peers go on sending calls until those fail.
TEST_F(fleet_agent_test, AStopOnAVeryBusyVmStillTellsPeers) {
  ASSERT_TRUE(WaitUntil([&] {
    return AllReady() && hosts_[0]->Sees("vm-2", member_state::kLive);
  })) << Describe();
  hosts_[2]->Occupy(milliseconds(1000));
  hosts_[2]->agent().Leave();
  hosts_[2]->agent().Stop();
  hosts_[2].reset();
  EXPECT_TRUE(WaitUntil(
      [&] { return hosts_[0]->Sees("vm-2", member_state::kLeaving); }));
}

// A VM is replaced while the platform serves an older manifest than the one in
// force. Its callers must not get the withdrawn rules.
TEST_F(fleet_agent_test, ARestartBesideAStalePlatformTakesThePeersManifest) {
  ASSERT_TRUE(WaitUntil([&] { return AllReady(); }));
  platform_.Run([](standin::platform_store& store) {
    store.Put("manifest/a", ManifestText(2));
  });
  ASSERT_TRUE(WaitUntil(
      [&] { return hosts_[0]->Version() == 2 && hosts_[1]->Version() == 2; }));
  platform_.Run([](standin::platform_store& store) {
    store.SetMode(standin::platform_mode::kOlder);
  });
  hosts_[2].reset();
  StartHost(2, 500);
  bool older = false;
  EXPECT_TRUE(WaitUntil([&] {
    const auto view = hosts_[2]->agent().View();
    const service_manifest* manifest = view->FindManifest("a");
    older = older || (view->ready && manifest->version < 2);
    return view->ready;
  }));
  EXPECT_FALSE(older);
  EXPECT_EQ(hosts_[2]->Version(), 2U);
}

// Something else on the network sends to the peer port, or a daemon of another
// fleet with another key: neither may change what this one believes.
TEST_F(fleet_agent_test, ForeignDatagramsAreCountedAndIgnored) {
  ASSERT_TRUE(WaitUntil([&] { return AllReady(); }));
  asio::io_context io;
  udp::socket socket(io, udp::v4());
  const udp::endpoint to(asio::ip::make_address(peers_[0].ip), peers_[0].port);
  for (int i = 0; i < 100; ++i) {
    socket.send_to(
        asio::buffer(std::string(static_cast<std::size_t>(i) * 14, 'x')), to);
  }
  EXPECT_TRUE(WaitUntil(
      [&] { return hosts_[0]->agent().Counters().datagrams_forged >= 100; }));
  hosts_[2].reset();
  StartHost(2, 700, "another-key-of-sixteen");
  EXPECT_TRUE(WaitUntil([&] { return hosts_[2]->Ready(); }));
  const fleet_service* service = hosts_[0]->agent().View()->Find("a");
  for (const fleet_target& target : service->targets) {
    EXPECT_NE(target.incarnation, incarnation_id{700});
  }
}

}  // namespace
}  // namespace pistachioweir
