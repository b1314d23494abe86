// Executions of a target's stand-in.
#include "standin/target.h"

#include <unistd.h>
#include <csignal>

#include <algorithm>
#include <utility>

#include <boost/asio.hpp>

#include "standin/payload.h"

namespace pistachioweir::standin {

namespace asio = boost::asio;

namespace {
constexpr milliseconds kNoDeadline(60000);
}  // namespace

// One request from its arrival to its answer. Ends early when the client
// closes its connection or the deadline passes.
class target::execution : public std::enable_shared_from_this<execution> {
 public:
  execution(target& owner,
            std::shared_ptr<http_exchange> exchange,
            target_method method,
            request_payload payload)
      : owner_(owner),
        exchange_(std::move(exchange)),
        method_(std::move(method)),
        payload_(std::move(payload)),
        work_(owner.io_),
        deadline_(owner.io_) {}

  [[nodiscard]] const request_payload& payload() const { return payload_; }
  [[nodiscard]] const target_method& method() const { return method_; }
  [[nodiscard]] std::string method_name() const {
    return exchange_->request().target.substr(1);
  }
  [[nodiscard]] std::int64_t arrived_us() const { return arrived_us_; }
  [[nodiscard]] bool ended() const { return ended_; }

  void Arrive() {
    const auto wait = milliseconds(
        NumberOr(FindHeader(exchange_->request().headers, "Pw-Timeout-Ms"),
                 static_cast<std::uint64_t>(kNoDeadline.count())));
    ends_ = monotonic_clock::now() + wait;
    deadline_.expires_at(ends_);
    deadline_.async_wait([self = shared_from_this()](auto error) {
      if (!error) {
        self->End("deadline", {.status = 504});
      }
    });
    exchange_->OnAbandoned([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->End("cancelled", {.status = 499});
      }
    });
  }

  void Start() {
    started_ = true;
    owner_.Record(*this, "start");
    if (payload_.crash == owner_.options_.service) {
      owner_.Record(*this, "crash");
      ::kill(::getpid(), SIGKILL);
    }
    if (owner_.config_.hang) {
      return;
    }
    work_.expires_after(owner_.DrawServiceTime(method_));
    work_.async_wait([self = shared_from_this()](auto error) {
      if (!error) {
        self->CallNext();
      }
    });
  }

 private:
  void CallNext() {
    if (ended_) {
      return;
    }
    if (next_call_ == method_.calls.size()) {
      const answer_payload answer{
          .root = payload_.root,
          .path = payload_.path,
          .vm = owner_.options_.vm,
          .padding = std::string(method_.answer_bytes, 'x')};
      End("end", {.headers = {{"Content-Type", "application/json"}},
                  .body = ToBody(answer)});
      return;
    }
    const downstream_call& next = method_.calls[next_call_++];
    const request_payload below{.root = payload_.root,
                                .path = payload_.path + "/" +
                                        std::to_string(next_call_) + ":" +
                                        next.service + "." + next.method,
                                .crash = payload_.crash};
    const auto left = std::chrono::duration_cast<milliseconds>(
        ends_ - monotonic_clock::now());
    const std::string context(
        FindHeader(exchange_->request().headers, "Pw-Context"));
    call_ = owner_.client_.Send(
        owner_.options_.local,
        {.method = "POST",
         .target = "/" + next.service + "/" + next.method,
         .headers = {{"Pw-Context", context},
                     {"Pw-Timeout-Ms", std::to_string(left.count())},
                     {"Content-Type", "application/json"}},
         .body = ToBody(below)},
        std::max(left, milliseconds(1)),
        [self = shared_from_this(), below](const http_result& result) {
          self->Called(below, result);
        });
  }

  void Called(const request_payload& below, const http_result& result) {
    call_ = nullptr;
    RecordTold(below, result);
    if (result.failure != http_failure::kNone ||
        result.response.status != 200) {
      End("failed", {.status = 500, .body = result.response.body});
      return;
    }
    const auto answer = ParseAnswerPayload(result.response.body);
    if (!answer || answer->root != below.root || answer->path != below.path) {
      owner_.Record(*this, "wrong_answer");
      End("failed", {.status = 500});
      return;
    }
    CallNext();
  }

  // What this target, as a caller, was told of its call.
  void RecordTold(const request_payload& below, const http_result& result) {
    Json::Value record;
    record["event"] = "told";
    record["root"] = below.root;
    record["path"] = below.path;
    record["outcome"] =
        result.failure == http_failure::kNone
            ? std::string(FindHeader(result.response.headers, "Pw-Outcome"))
            : "none";
    record["reason"] =
        std::string(FindHeader(result.response.headers, "Pw-Reason"));
    owner_.records_.Write(record);
  }

  void End(const char* event, const http_response& response) {
    if (std::exchange(ended_, true)) {
      return;
    }
    work_.cancel();
    deadline_.cancel();
    if (call_) {
      std::exchange(call_, nullptr)->Cancel();
    }
    if (started_) {
      owner_.Record(*this, event);
    }
    exchange_->Respond(response);
    owner_.Finished(shared_from_this());
  }

  target& owner_;
  std::shared_ptr<http_exchange> exchange_;
  target_method method_;
  request_payload payload_;
  asio::steady_timer work_;
  asio::steady_timer deadline_;
  time_point ends_;
  std::int64_t arrived_us_ = WallMicroseconds();
  std::shared_ptr<http_call> call_;
  std::size_t next_call_ = 0;
  bool started_ = false;
  bool ended_ = false;
};

target::target(asio::io_context& io,
               target_options options,
               target_config config)
    : io_(io),
      options_(std::move(options)),
      config_(std::move(config)),
      records_(options_.records),
      client_(io),
      random_(options_.seed) {}

void target::Serve(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  if (request.method == "GET" && request.target == "/health") {
    exchange->Respond({.body = Health()});
    return;
  }
  if (request.method != "POST" || request.target.empty()) {
    exchange->Respond({.status = 404});
    return;
  }
  Admit(exchange);
}

void target::Control(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  if (request.method == "PUT" && request.target == "/config") {
    const Json::Value changes = ParseJson(request.body);
    if (!changes.isObject()) {
      exchange->Respond({.status = 400});
      return;
    }
    config_.Apply(changes);
    StartWaiting();
  }
  Json::Value state;
  state["running"] = static_cast<Json::UInt64>(running_.size());
  state["queued"] = static_cast<Json::UInt64>(queue_.size());
  exchange->Respond({.body = ToCompactJson(state)});
}

void target::Admit(const std::shared_ptr<http_exchange>& exchange) {
  const auto method =
      config_.methods.find(exchange->request().target.substr(1));
  const auto payload = ParseRequestPayload(exchange->request().body);
  if (method == config_.methods.end() || !payload) {
    exchange->Respond({.status = payload ? 404 : 400});
    return;
  }
  const bool busy = running_.size() >= config_.slots;
  if (config_.draining || (busy && config_.sheds) ||
      (busy && queue_.size() >= config_.queue)) {
    exchange->Respond({.status = 503});
    return;
  }
  const auto arrived =
      std::make_shared<execution>(*this, exchange, method->second, *payload);
  arrived->Arrive();
  queue_.push_back(arrived);
  StartWaiting();
}

void target::StartWaiting() {
  while (!queue_.empty() && running_.size() < config_.slots) {
    const std::shared_ptr<execution> next = queue_.front();
    queue_.pop_front();
    running_.insert(next);
    next->Start();
  }
}

void target::Finished(const std::shared_ptr<execution>& ended) {
  if (running_.erase(ended) == 0) {
    std::erase(queue_, ended);
  }
  StartWaiting();
}

void target::Record(const execution& what, const char* event) {
  Json::Value record;
  record["event"] = event;
  record["vm"] = options_.vm;
  record["service"] = options_.service;
  record["method"] = what.method_name();
  record["root"] = what.payload().root;
  record["path"] = what.payload().path;
  record["at_most_once"] = what.method().at_most_once;
  record["arrived_us"] = static_cast<Json::Int64>(what.arrived_us());
  records_.Write(record);
}

duration target::DrawServiceTime(const target_method& method) {
  double ms = method.mean_ms;
  if (method.distribution == service_time::kExponential) {
    ms = std::exponential_distribution<double>(1 / method.mean_ms)(random_);
  } else if (method.distribution == service_time::kLognormal) {
    // Sigma 1: the slowest of a hundred takes six times the mean.
    ms = method.mean_ms * std::lognormal_distribution<double>(-0.5, 1)(random_);
  }
  ms *= config_.slow_down;
  if (monotonic_clock::now() - started_ < milliseconds(config_.cold_ms)) {
    ms *= config_.cold_factor;
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

std::string target::Health() const {
  Json::Value health;
  const bool cold =
      monotonic_clock::now() - started_ < milliseconds(config_.cold_ms);
  health["state"] = !config_.health.empty() ? config_.health
                    : config_.draining      ? "draining"
                    : cold                  ? "starting"
                                            : "ready";
  health["in_flight"] = static_cast<Json::UInt64>(running_.size());
  health["slots"] = config_.slots;
  return ToCompactJson(health);
}

}  // namespace pistachioweir::standin
