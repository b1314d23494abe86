// The forwarder's connections and datagrams on Boost.Asio.
#include "standin/forwarder.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <set>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

namespace pistachioweir::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using error_code = boost::system::error_code;

constexpr std::size_t kBufferSize = 65536;

template <typename Protocol>
typename Protocol::endpoint ToAsio(const endpoint& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

// The inode of the socket that is connected from `local` to `remote`, as
// /proc/net/tcp lists it; empty if it is gone.
std::string InodeOf(const tcp::endpoint& local, const tcp::endpoint& remote) {
  const auto hex = [](const tcp::endpoint& address) {
    std::array<char, 16> text{};
    // The kernel prints the address as a number in network order.
    std::snprintf(text.data(), text.size(), "%08X:%04X",
                  htonl(address.address().to_v4().to_uint()), address.port());
    return std::string(text.data());
  };
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string from;
    std::string to;
    fields >> slot >> from >> to;
    if (from != hex(local) || to != hex(remote)) {
      continue;
    }
    std::string field;
    for (int skipped = 0; skipped < 7; ++skipped) {
      fields >> field;  // The last that is read is the inode.
    }
    return field;
  }
  return {};
}

bool HasSocket(pid_t pid, const std::string& inode) {
  const std::string wanted = "socket:[" + inode + "]";
  error_code unused;
  std::error_code error;
  for (std::filesystem::directory_iterator at(
           "/proc/" + std::to_string(pid) + "/fd", error);
       !error && at != std::filesystem::directory_iterator();
       at.increment(error)) {
    std::error_code gone;
    if (std::filesystem::read_symlink(at->path(), gone) == wanted) {
      return true;
    }
  }
  return false;
}

}  // namespace

class forwarder::network {
 public:
  explicit network(std::function<pid_t(const std::string&)> pid_of)
      : pid_of_(std::move(pid_of)),
        guard_(io_.get_executor()),
        thread_([this] { io_.run(); }) {}

  ~network() {
    io_.stop();
    thread_.join();
  }

  // Runs `change` on the forwarder's thread.
  template <typename Change>
  void Post(Change change) {
    asio::post(io_, std::move(change));
  }

  void Add(const forwarded_vm& vm) {
    auto& entry = entries_.emplace_back(io_, vm);
    Accept(entry);
    Receive(entry);
  }

  void Cut(const std::string& from, const std::string& to) {
    cuts_.emplace(from, to);
  }

  void HealAll() { cuts_.clear(); }

  void SilenceOpen() {
    for (const auto& open : links_) {
      if (const auto link = open.lock()) {
        link->silent = true;
      }
    }
    links_.clear();
  }

 private:
  struct entry {
    entry(asio::io_context& io, forwarded_vm forwarded)
        : vm(std::move(forwarded)),
          acceptor(io, ToAsio<tcp>(vm.advertised)),
          datagrams(io, ToAsio<udp>(vm.advertised)) {}

    forwarded_vm vm;
    tcp::acceptor acceptor;
    udp::socket datagrams;
    udp::endpoint sender;
    std::array<char, kBufferSize> buffer{};
  };

  // One connection opened by `client` to `server`.
  struct link {
    explicit link(asio::io_context& io) : near(io), far(io) {}

    std::string client;
    std::string server;
    tcp::socket near;  // Towards the client.
    tcp::socket far;   // Towards the server.
    bool silent = false;
  };

  void Accept(entry& to) {
    to.acceptor.async_accept([this, &to](error_code error, tcp::socket socket) {
      if (!error) {
        Open(to, std::move(socket));
      }
      Accept(to);
    });
  }

  void Open(const entry& to, tcp::socket socket) {
    const auto opened = std::make_shared<link>(io_);
    opened->server = to.vm.vm;
    opened->client = OpenerOf(socket);
    opened->near = std::move(socket);
    links_.push_back(opened);
    std::erase_if(links_, [](const auto& weak) { return weak.expired(); });
    opened->far.async_connect(ToAsio<tcp>(to.vm.actual), [this, opened](
                                                             error_code error) {
      if (error) {
        return;  // Closes both, as a refused connection would be.
      }
      error_code ignored;
      opened->near.set_option(tcp::no_delay(true), ignored);
      opened->far.set_option(tcp::no_delay(true), ignored);
      Pump(opened, opened->near, opened->far, opened->client, opened->server);
      Pump(opened, opened->far, opened->near, opened->server, opened->client);
    });
  }

  // Carries bytes one way until either end closes. Bytes that meet a cut are
  // lost, and what follows them makes no sense: the link goes silent.
  void Pump(const std::shared_ptr<link>& on,
            tcp::socket& source,
            tcp::socket& sink,
            const std::string& from,
            const std::string& to) {
    const auto bytes = std::make_shared<std::vector<char>>(kBufferSize);
    source.async_read_some(
        asio::buffer(*bytes), [this, on, bytes, &source, &sink, &from, &to](
                                  error_code error, std::size_t size) {
          if (!on->silent && cuts_.contains({from, to})) {
            on->silent = true;
          }
          if (error) {
            if (!on->silent) {
              error_code ignored;
              sink.close(ignored);
            }
            return;
          }
          if (on->silent) {
            Pump(on, source, sink, from, to);
            return;
          }
          asio::async_write(sink, asio::buffer(*bytes, size),
                            [this, on, bytes, &source, &sink, &from, &to](
                                error_code failed, std::size_t) {
                              if (failed) {
                                error_code ignored;
                                source.close(ignored);
                                return;
                              }
                              Pump(on, source, sink, from, to);
                            });
        });
  }

  void Receive(entry& to) {
    to.datagrams.async_receive_from(
        asio::buffer(to.buffer), to.sender,
        [this, &to](error_code error, std::size_t size) {
          if (!error) {
            Forward(to, size);
          }
          Receive(to);
        });
  }

  // A datagram leaves from the sender's advertised address, so that an answer
  // to it comes back through here.
  void Forward(const entry& to, std::size_t size) {
    for (entry& from : entries_) {
      if (ToAsio<udp>(from.vm.actual) != to.sender) {
        continue;
      }
      if (!cuts_.contains({from.vm.vm, to.vm.vm})) {
        error_code ignored;
        from.datagrams.send_to(asio::buffer(to.buffer.data(), size),
                               ToAsio<udp>(to.vm.actual), 0, ignored);
      }
      return;
    }
  }

  // The VM whose daemon opened the connection; empty for others.
  std::string OpenerOf(const tcp::socket& socket) {
    error_code error;
    const auto here = socket.local_endpoint(error);
    const auto there = socket.remote_endpoint(error);
    if (error) {
      return {};
    }
    const std::string inode = InodeOf(there, here);
    for (const entry& candidate : entries_) {
      if (HasSocket(pid_of_(candidate.vm.vm), inode)) {
        return candidate.vm.vm;
      }
    }
    return {};
  }

  std::function<pid_t(const std::string&)> pid_of_;
  asio::io_context io_;
  std::list<entry> entries_;
  std::vector<std::weak_ptr<link>> links_;
  std::set<std::pair<std::string, std::string>> cuts_;  // From, to.
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;  // Last: runs all of the above.
};

forwarder::forwarder(std::function<pid_t(const std::string&)> pid_of)
    : network_(std::make_unique<network>(std::move(pid_of))) {}

forwarder::~forwarder() = default;

void forwarder::Add(const forwarded_vm& vm) {
  network_->Post([this, vm] { network_->Add(vm); });
}

void forwarder::Cut(const std::string& from, const std::string& to) {
  network_->Post([this, from, to] { network_->Cut(from, to); });
}

void forwarder::CutBothWays(const std::string& a, const std::string& b) {
  Cut(a, b);
  Cut(b, a);
}

void forwarder::HealAll() {
  network_->Post([this] { network_->HealAll(); });
}

void forwarder::SilenceOpen() {
  network_->Post([this] { network_->SilenceOpen(); });
}

}  // namespace pistachioweir::standin
