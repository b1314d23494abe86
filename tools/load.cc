// Callers of the load tool.
#include "tools/load.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

#include <boost/asio.hpp>

#include "include/base/outcome.h"
#include "standin/payload.h"

namespace pistachioweir::standin {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kKeysAhead = 64;
// Keys live for 30 s if the manifest says nothing; older ones aren't used.
constexpr seconds kOldestKey(10);
// A caller hears nothing for this long beyond its deadline: it gives up.
constexpr milliseconds kGrace(500);

double Milliseconds(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// What one answer, or its absence, tells the caller.
struct told {
  std::string outcome;  // As Pw-Outcome, or "none".
  std::string reason;
  int status = 0;
  std::optional<milliseconds> retry_after;
  bool wrong = false;  // Cut, or the answer to another request.
  std::string vm;      // Where it ran, with an answer of the target.
};

told Read(const http_result& result, const std::string& root) {
  told read{.outcome = "none"};
  if (result.failure != http_failure::kNone) {
    read.reason = kHttpFailureNames.Name(result.failure);
    return read;
  }
  const http_headers& headers = result.response.headers;
  read.status = result.response.status;
  read.outcome = FindHeader(headers, "Pw-Outcome");
  read.reason = FindHeader(headers, "Pw-Reason");
  const auto after = FindHeader(headers, "Pw-Retry-After-Ms");
  if (!after.empty()) {
    read.retry_after = milliseconds(NumberOr(after, 0));
  }
  if (read.outcome.empty()) {  // A target that was spoken to directly.
    read.outcome = read.status == 503   ? "not_executed"
                   : read.status == 504 ? "unknown"
                                        : "completed";
  }
  if (read.outcome == "completed" && read.status == 200) {
    const auto answer = ParseAnswerPayload(result.response.body);
    read.wrong = !answer || answer->root != root;
    read.vm = answer ? answer->vm : std::string();
  }
  return read;
}

}  // namespace

// Draws the times between arrivals.
class load::arrivals {
 public:
  arrivals(asio::io_context& io, const load_plan& plan)
      : plan_(plan),
        timer_(io),
        start_(monotonic_clock::now()),
        next_(start_) {}

  [[nodiscard]] time_point start() const { return start_; }
  asio::steady_timer& timer() { return timer_; }

  // The time of the next arrival; the past if the system fell behind, so that
  // the rate is kept.
  time_point Next(std::mt19937_64& random) {
    const auto since = next_ - start_;
    const bool surge = since >= plan_.surge_start && since < plan_.surge_end;
    const double rate = plan_.rate * (surge ? plan_.surge_factor : 1);
    const std::chrono::duration<double> gap(
        std::exponential_distribution<double>(rate)(random));
    next_ += std::chrono::duration_cast<duration>(gap);
    return next_;
  }

 private:
  const load_plan& plan_;
  asio::steady_timer timer_;
  time_point start_;
  time_point next_;
};

// One request of one caller, with its re-sends.
class load::request : public std::enable_shared_from_this<request> {
 public:
  request(load& owner, const load_method& method, std::string id)
      : owner_(owner),
        method_(method),
        report_(owner.report_[method.name]),
        id_(std::move(id)),
        timer_(owner.io_),
        start_(monotonic_clock::now()) {}

  void Start() {
    ++report_.sent;
    if (method_.at_most_once && !owner_.plan_.direct) {
      key_ = owner_.TakeKey(method_.name);
    }
    Send();
  }

 private:
  // The id that targets record. A re-send under the same key is the same
  // request; one without a key, or with a new one, is another.
  [[nodiscard]] std::string Root() const {
    return id_ + "." + std::to_string(generation_);
  }

  void Send() {
    // The first sending goes to the key's home, a later one to any daemon.
    to_ = key_ && resends_ == 0 ? key_->home : owner_.DrawOtherDaemon(to_);
    http_request message{
        .method = "POST",
        .target = owner_.plan_.direct
                      ? "/" + method_.name
                      : "/" + owner_.plan_.service + "/" + method_.name,
        .headers = {{"Pw-Timeout-Ms",
                     std::to_string(owner_.plan_.timeout.count())},
                    {"Content-Type", "application/json"}},
        .body = ToBody(request_payload{
            .root = Root(),
            .path = owner_.plan_.service + "." + method_.name})};
    if (key_) {
      message.headers.push_back({"Idempotency-Key", key_->key});
    }
    sent_ = monotonic_clock::now();
    owner_.client_.Send(to_, message, owner_.plan_.timeout + kGrace,
                        [self = shared_from_this()](const http_result& result) {
                          self->Answered(result);
                        });
  }

  void Answered(const http_result& result) {
    const std::string root = Root();
    const told answer = Read(result, root);
    Record(root, answer);
    if (answer.status == 428) {
      key_ = issued_key{.key = std::string(FindHeader(result.response.headers,
                                                      "Idempotency-Key")),
                        .home = to_};
      if (!key_->key.empty() && !asked_for_key_) {
        asked_for_key_ = true;
        ++generation_;
        Send();
        return;
      }
    }
    if (answer.wrong) {
      ++report_.wrong;
    }
    if (answer.outcome == "completed" || !ResendLater(answer)) {
      Finish(answer);
    }
  }

  bool ResendLater(const told& answer) {
    const resend_policy policy = owner_.plan_.resend;
    if (policy == resend_policy::kNone ||
        resends_ == owner_.plan_.max_resends) {
      return false;
    }
    const milliseconds wait = policy == resend_policy::kHonour
                                  ? answer.retry_after.value_or(milliseconds(0))
                                  : milliseconds(0);
    const bool definite = answer.outcome == "not_executed";
    if (policy == resend_policy::kHonour &&
        ((definite && !answer.retry_after) || wait > owner_.plan_.timeout)) {
      return false;
    }
    ++resends_;
    ++report_.resends;
    if (definite || !key_) {
      ++generation_;
      key_ = method_.at_most_once ? owner_.TakeKey(method_.name) : std::nullopt;
    }
    timer_.expires_after(wait);
    timer_.async_wait([self = shared_from_this()](auto) { self->Send(); });
    return true;
  }

  void Record(const std::string& root, const told& answer) {
    Json::Value record;
    record["event"] = "told";
    record["root"] = root;
    record["method"] = method_.name;
    record["at_most_once"] = method_.at_most_once;
    record["daemon"] = Authority(to_);
    record["outcome"] = answer.outcome;
    record["reason"] = answer.reason;
    record["status"] = answer.status;
    record["wrong"] = answer.wrong;
    record["vm"] = answer.vm;
    record["ms"] = Milliseconds(monotonic_clock::now() - sent_);
    owner_.records_.Write(record);
  }

  void Finish(const told& answer) {
    const duration took = monotonic_clock::now() - start_;
    if (answer.outcome != "completed") {
      ++(answer.outcome == "not_executed" ? report_.not_executed
                                          : report_.unknown);
      ++report_.reasons[answer.outcome + "/" + answer.reason];
      return;
    }
    if (answer.status != 200 || answer.wrong) {
      ++report_.failed;
      return;
    }
    report_.latencies_ms.push_back(Milliseconds(took));
    if (took > owner_.plan_.timeout) {
      ++report_.late;
      return;
    }
    ++report_.in_deadline;
    ++report_.goodput[std::chrono::duration_cast<seconds>(
                          start_ - owner_.arrivals_->start())
                          .count()];
  }

  load& owner_;
  const load_method& method_;
  method_report& report_;
  std::string id_;
  asio::steady_timer timer_;
  time_point start_;
  time_point sent_;
  endpoint to_;
  std::optional<issued_key> key_;
  std::uint32_t generation_ = 0;
  std::uint32_t resends_ = 0;
  bool asked_for_key_ = false;
};

load::load(asio::io_context& io, load_plan plan)
    : io_(io),
      plan_(std::move(plan)),
      client_(io),
      records_(plan_.records),
      random_(plan_.seed) {
  std::vector<double> weights;
  for (const load_method& method : plan_.methods) {
    weights.push_back(method.weight);
  }
  mix_ =
      std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

load::~load() = default;

void load::Start() {
  for (const load_method& method : plan_.methods) {
    if (method.at_most_once && !plan_.direct) {
      FetchKeys(method.name);
    }
  }
  arrivals_ = std::make_unique<arrivals>(io_, plan_);
  ScheduleNext();
}

void load::ScheduleNext() {
  const time_point next = arrivals_->Next(random_);
  if (next - arrivals_->start() >= plan_.length) {
    return;
  }
  arrivals_->timer().expires_at(next);
  arrivals_->timer().async_wait([this](auto error) {
    if (!error) {
      Arrive();
      ScheduleNext();
    }
  });
}

void load::Arrive() {
  const load_method& method = plan_.methods[mix_(random_)];
  std::make_shared<request>(*this, method,
                            plan_.run + std::to_string(next_id_++))
      ->Start();
}

void load::FetchKeys(const std::string& method) {
  if (std::exchange(fetching_[method], true)) {
    return;
  }
  const endpoint from = DrawDaemon();
  client_.Send(from,
               {.method = "POST",
                .target = "/keys/" + plan_.service + "/" + method +
                          "?count=" + std::to_string(kKeysAhead)},
               plan_.timeout, [this, method, from](const http_result& result) {
                 fetching_[method] = false;
                 const Json::Value body = ParseJson(result.response.body);
                 if (result.response.status != 200 || !body.isObject()) {
                   return;
                 }
                 for (const Json::Value& key : body["keys"]) {
                   keys_[method].push_back({.key = key.asString(),
                                            .home = from,
                                            .fetched = monotonic_clock::now()});
                 }
               });
}

std::optional<load::issued_key> load::TakeKey(const std::string& method) {
  std::deque<issued_key>& keys = keys_[method];
  const time_point oldest = monotonic_clock::now() - kOldestKey;
  while (!keys.empty() && keys.front().fetched < oldest) {
    keys.pop_front();
  }
  if (keys.size() < kKeysAhead / 4) {
    FetchKeys(method);
  }
  if (keys.empty()) {
    return std::nullopt;
  }
  issued_key key = std::move(keys.front());
  keys.pop_front();
  return key;
}

const endpoint& load::DrawDaemon() {
  std::uniform_int_distribution<std::size_t> any(0, plan_.daemons.size() - 1);
  return plan_.daemons[any(random_)];
}

const endpoint& load::DrawOtherDaemon(const endpoint& last) {
  const endpoint* drawn = &DrawDaemon();
  while (*drawn == last && plan_.daemons.size() > 1) {
    drawn = &DrawDaemon();
  }
  return *drawn;
}

std::vector<load_method> ParseMix(const std::string& text) {
  constexpr std::string_view kOnce = ":once";
  std::vector<load_method> methods;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = std::min(text.find(',', at), text.size());
    std::string entry = text.substr(at, end - at);
    at = end + 1;
    load_method method;
    if (entry.ends_with(kOnce)) {
      method.at_most_once = true;
      entry.resize(entry.size() - kOnce.size());
    }
    const std::size_t equals = entry.find('=');
    method.name = entry.substr(0, equals);
    if (equals != std::string::npos) {
      method.weight = std::stod(entry.substr(equals + 1));
    }
    methods.push_back(std::move(method));
  }
  if (methods.empty()) {
    throw std::invalid_argument("empty mix");
  }
  return methods;
}

}  // namespace pistachioweir::standin
