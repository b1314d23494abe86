// pw-platform: stands in for the platform's configuration service in tests and
// the demo. The service port is read-only as docs/INTERFACES.md says; the
// control port changes documents and causes failures:
//   PUT /documents/KEY         sets a document
//   PUT /mode/NAME             ok, down, stale, older or slow
//   GET /counts                {"reads", "peak_per_second", "waiting"}
#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>
#include <list>
#include <memory>
#include <utility>

#include <boost/asio.hpp>

#include "include/base/time.h"
#include "standin/http_server.h"
#include "standin/platform_store.h"
#include "standin/record_file.h"

namespace pistachioweir::standin {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kDocumentsPath = "/v1/documents/";
constexpr std::string_view kControlPath = "/documents/";
constexpr std::string_view kModePath = "/mode/";
constexpr milliseconds kSlowAnswer(500);
constexpr milliseconds kLongestWait(60000);

// Reads at the service, a waiting watch counted as one.
class read_counter {
 public:
  void Count(time_point now) {
    const auto second =
        std::chrono::duration_cast<seconds>(now.time_since_epoch());
    if (second != second_) {
      second_ = second;
      in_second_ = 0;
    }
    ++reads_;
    peak_ = std::max(peak_, ++in_second_);
  }

  [[nodiscard]] std::uint64_t reads() const { return reads_; }
  [[nodiscard]] std::uint64_t peak() const { return peak_; }

 private:
  seconds second_{0};
  std::uint64_t in_second_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t peak_ = 0;
};

// A read that waits for a revision after `after`.
struct watch {
  watch(asio::io_context& io,
        std::shared_ptr<http_exchange> waiting,
        std::string document_key,
        std::uint64_t seen)
      : exchange(std::move(waiting)),
        key(std::move(document_key)),
        after(seen),
        timer(io) {}

  std::shared_ptr<http_exchange> exchange;
  std::string key;
  std::uint64_t after;
  asio::steady_timer timer;
};

// Serves the two ports from one store, on one thread.
class platform {
 public:
  platform(asio::io_context& io,
           platform_store store,
           const std::string& records)
      : io_(io), store_(std::move(store)), records_(records) {}

  void Serve(const std::shared_ptr<http_exchange>& exchange) {
    counter_.Count(monotonic_clock::now());
    if (store_.mode() == platform_mode::kDown) {
      exchange->Close();
      return;
    }
    if (store_.mode() == platform_mode::kSlow) {
      const auto timer = std::make_shared<asio::steady_timer>(io_, kSlowAnswer);
      timer->async_wait([this, timer, exchange](auto) { Read(exchange); });
      return;
    }
    Read(exchange);
  }

  void Control(const std::shared_ptr<http_exchange>& exchange) {
    const http_request& request = exchange->request();
    if (request.method == "GET" && request.target == "/counts") {
      exchange->Respond({.body = ToCompactJson(Counts())});
      return;
    }
    if (request.target.starts_with(kControlPath)) {
      const std::string key = request.target.substr(kControlPath.size());
      Record(key, request.body);
      store_.Put(key, request.body);
      WakeWatches();
      exchange->Respond({});
      return;
    }
    const auto mode =
        request.target.starts_with(kModePath)
            ? kPlatformModeNames.Find(request.target.substr(kModePath.size()))
            : std::nullopt;
    if (!mode) {
      exchange->Respond({.status = 404});
      return;
    }
    SetMode(*mode);
    exchange->Respond({});
  }

 private:
  void Read(const std::shared_ptr<http_exchange>& exchange) {
    const http_request& request = exchange->request();
    const std::string_view path = PathOf(request.target);
    if (request.method != "GET" || !path.starts_with(kDocumentsPath)) {
      exchange->Respond({.status = 404});
      return;
    }
    const std::string key(path.substr(kDocumentsPath.size()));
    const std::uint64_t after =
        NumberOr(QueryValue(request.target, "after"), 0);
    const auto wait = std::min(
        milliseconds(NumberOr(QueryValue(request.target, "wait_ms"), 0)),
        kLongestWait);
    const auto found = store_.Find(key);
    // Without "after", any revision will do; an older one is newer to nobody.
    if (found && found->revision > after) {
      Answer(exchange, *found);
    } else if (wait.count() > 0) {
      Wait(exchange, key, after, wait);
    } else {
      exchange->Respond({.status = found ? 304 : 404});
    }
  }

  static void Answer(const std::shared_ptr<http_exchange>& exchange,
                     const document& found) {
    exchange->Respond({.headers = {{"Revision", std::to_string(found.revision)},
                                   {"Content-Type", "application/json"}},
                       .body = found.body});
  }

  void Wait(const std::shared_ptr<http_exchange>& exchange,
            const std::string& key,
            std::uint64_t after,
            milliseconds wait) {
    const auto at = watches_.emplace(watches_.end(), io_, exchange, key, after);
    at->timer.expires_after(wait);
    at->timer.async_wait([this, at](boost::system::error_code error) {
      if (error) {
        return;
      }
      const auto waiting = at->exchange;
      watches_.erase(at);
      waiting->Respond({.status = 304});
    });
    exchange->OnAbandoned([this, at] { watches_.erase(at); });
  }

  void WakeWatches() {
    for (auto at = watches_.begin(); at != watches_.end();) {
      const auto found = store_.Find(at->key);
      if (!found || found->revision <= at->after) {
        ++at;
        continue;
      }
      Answer(at->exchange, *found);
      at = watches_.erase(at);
    }
  }

  void SetMode(platform_mode mode) {
    store_.SetMode(mode);
    if (mode != platform_mode::kDown) {
      WakeWatches();
      return;
    }
    for (const watch& waiting : watches_) {
      waiting.exchange->Close();
    }
    watches_.clear();
  }

  // Each VM of a live list as it is published, for the check that a leaving
  // target gets no new calls.
  void Record(const std::string& key, const std::string& body) {
    const Json::Value document = ParseJson(body);
    Json::Value record;
    record["event"] = "document";
    record["key"] = key;
    record["version"] =
        document.isObject() ? document["version"] : Json::Value();
    record["vms"] = document.isObject() ? document["vms"] : Json::Value();
    records_.Write(record);
  }

  [[nodiscard]] Json::Value Counts() const {
    Json::Value counts;
    counts["reads"] = static_cast<Json::UInt64>(counter_.reads());
    counts["peak_per_second"] = static_cast<Json::UInt64>(counter_.peak());
    counts["waiting"] = static_cast<Json::UInt64>(watches_.size());
    return counts;
  }

  asio::io_context& io_;
  platform_store store_;
  record_file records_;
  read_counter counter_;
  std::list<watch> watches_;
};

int Run(int argc, char** argv) {
  CLI::App app("Stand-in for the platform's configuration service.");
  std::string listen = "127.0.0.1:0";
  std::string control = "127.0.0.1:0";
  std::string folder;
  std::string records;
  app.add_option("--listen", listen, "IP:PORT of the read-only service");
  app.add_option("--control", control, "IP:PORT that changes it");
  app.add_option("--documents", folder, "Folder of documents to start with");
  app.add_option("--records", records,
                 "File of JSON lines: what was published");
  CLI11_PARSE(app, argc, argv);

  platform_store store;
  if (!folder.empty()) {
    store.LoadFolder(folder);
  }
  asio::io_context io;
  platform service(io, std::move(store), records);
  const http_server reading(
      io, ParseEndpoint(listen),
      [&service](const auto& exchange) { service.Serve(exchange); });
  const http_server controlling(
      io, ParseEndpoint(control),
      [&service](const auto& exchange) { service.Control(exchange); });
  asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&io](auto, int) { io.stop(); });
  std::cout << "ready listen=" << Authority(reading.address())
            << " control=" << Authority(controlling.address()) << std::endl;
  io.run();
  return 0;
}

}  // namespace
}  // namespace pistachioweir::standin

int main(int argc, char** argv) {
  try {
    return pistachioweir::standin::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "pw-platform: " << error.what() << '\n';
    return 1;
  }
}
