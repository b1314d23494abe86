// Collecting, telling and refusing suspected requests.
#include "src/daemon/crash_guard.h"

#include <msgpack.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

#include "include/call/envelope.h"
#include "include/call/msgpack_reader.h"
#include "include/once/fingerprint.h"
#include "src/daemon/observer.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

// Connections that end this soon behind each other belong to one crash.
constexpr milliseconds kOneCrash{20};

// A report must fit one of gossip's blobs. The request that crashed its target
// was most often among those that started last.
constexpr std::size_t kMaxReported = 10;

constexpr std::uint32_t kReportFormat = 1;
constexpr milliseconds kReportLifetime{60000};

request_fingerprint FingerprintOf(const call_envelope& request) {
  return Fingerprint({.service = request.service,
                      .method = request.method,
                      .body = request.body,
                      .label = {}});
}

}  // namespace

class crash_guard::report_timer {
 public:
  explicit report_timer(boost::asio::io_context& context) : timer(context) {}

  boost::asio::steady_timer timer;
};

crash_guard::crash_guard(crash_guard_options options)
    : options_(std::move(options)),
      timer_(std::make_unique<report_timer>(options_.workers.context(0))) {}

crash_guard::~crash_guard() = default;

bool crash_guard::Empty() {
  const std::lock_guard lock(mutex_);
  return quarantine_.empty();
}

milliseconds crash_guard::Refused(const call_envelope& request,
                                  time_point now) {
  if (Empty()) {
    return milliseconds(0);
  }
  const request_fingerprint fingerprint = FingerprintOf(request);
  const std::lock_guard lock(mutex_);
  return quarantine_.Remaining(fingerprint, now);
}

// All requests that were in progress are suspects, since nothing tells which of
// them did it. A second crash with the same one among them settles it; until
// then none is refused.
void crash_guard::OnLost(const call_envelope& request, time_point started) {
  const request_fingerprint fingerprint = FingerprintOf(request);
  const time_point now = monotonic_clock::now();
  const std::lock_guard lock(mutex_);
  if (suspects_.empty()) {
    ++crashes_;
    crash_ =
        CrashIdOf(static_cast<std::uint64_t>(options_.incarnation), crashes_);
    ArmReport();
  }
  suspects_.push_back({.fingerprint = fingerprint, .started = started});
  const bool before = quarantine_.Remaining(fingerprint, now).count() > 0;
  quarantine_.OnCrash(fingerprint, crash_, now);
  if (!before && quarantine_.Remaining(fingerprint, now).count() > 0) {
    options_.watch.audit().Add(
        {.kind = audit_kind::kQuarantined,
         .subject = request.service + "/" + request.method,
         .cause = "in progress at two target crashes"});
  }
}

void crash_guard::OnCompleted(const call_envelope& request) {
  if (Empty()) {
    return;
  }
  const request_fingerprint fingerprint = FingerprintOf(request);
  const std::lock_guard lock(mutex_);
  quarantine_.OnCompleted(fingerprint);
}

void crash_guard::ArmReport() {
  boost::asio::post(options_.workers.context(0), [this] {
    timer_->timer.expires_after(kOneCrash);
    timer_->timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        Report();
      }
    });
  });
}

void crash_guard::Report() {
  std::vector<suspect> suspects;
  crash_id crash{};
  {
    const std::lock_guard lock(mutex_);
    suspects = std::exchange(suspects_, {});
    crash = crash_;
  }
  std::ranges::sort(suspects, std::greater<>(), &suspect::started);
  std::vector<request_fingerprint> newest;
  for (const suspect& each : suspects) {
    if (newest.size() < kMaxReported) {
      newest.push_back(each.fingerprint);
    }
  }
  if (options_.publish) {
    options_.publish(
        {.id = "crash-" + std::to_string(static_cast<std::uint64_t>(crash)),
         .bytes = EncodeSuspects(crash, newest),
         .lifetime = kReportLifetime});
  }
}

void crash_guard::Import(std::string_view bytes, milliseconds remaining) {
  const auto entries = DecodeSuspects(bytes, remaining);
  if (!entries) {
    return;
  }
  const std::lock_guard lock(mutex_);
  for (const quarantine_entry& entry : *entries) {
    quarantine_.Import(entry, monotonic_clock::now());
  }
}

void crash_guard::Expire(time_point now) {
  const std::lock_guard lock(mutex_);
  quarantine_.Expire(now);
}

std::string EncodeSuspects(crash_id crash,
                           const std::vector<request_fingerprint>& suspects) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(static_cast<std::uint32_t>(2 + 2 * suspects.size()));
  packer.pack(kReportFormat);
  packer.pack(static_cast<std::uint64_t>(crash));
  for (const request_fingerprint& suspect : suspects) {
    packer.pack(suspect.high);
    packer.pack(suspect.low);
  }
  return {buffer.data(), buffer.size()};
}

std::optional<std::vector<quarantine_entry>> DecodeSuspects(
    std::string_view bytes,
    milliseconds remaining) {
  // The number of suspects isn't known before the array is read.
  for (std::uint32_t count = 1; count <= kMaxReported; ++count) {
    msgpack_reader reader(bytes, 2 + 2 * count);
    if (!reader.ok()) {
      continue;
    }
    if (reader.Unsigned32() != kReportFormat) {
      return std::nullopt;
    }
    const crash_id crash{reader.Unsigned()};
    std::vector<quarantine_entry> entries(count);
    for (quarantine_entry& entry : entries) {
      entry.fingerprint.high = reader.Unsigned();
      entry.fingerprint.low = reader.Unsigned();
      entry.crashes[0] = crash;
      entry.remaining = remaining;
    }
    return reader.ok() && crash != crash_id{} ? std::optional(entries)
                                              : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace pistachioweir
