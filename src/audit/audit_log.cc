// Audit events in memory and as log lines.
#include "include/audit/audit_log.h"

#include <algorithm>
#include <utility>

#include "include/base/log.h"

namespace pistachioweir {
namespace {

// Kinds that load alone can bring back and forth many times a second. All
// others are steps that an operator must find one by one: a second manifest
// within a second, merged into the first, looked as if it had never come.
bool MaySwing(audit_kind kind) {
  switch (kind) {
    case audit_kind::kLevelChanged:
    case audit_kind::kTargetEjected:
    case audit_kind::kTargetRestored:
      return true;
    default:
      return false;
  }
}

}  // namespace
namespace {

void WriteLine(const audit_event& event) {
  LogEvent(kAuditKindNames.Name(event.kind),
           {{.name = "number", .value = std::to_string(event.number)},
            {.name = "subject", .value = event.subject},
            {.name = "before", .value = event.before},
            {.name = "after", .value = event.after},
            {.name = "cause", .value = event.cause}});
}

}  // namespace

audit_log::audit_log(audit_options options) : options_(std::move(options)) {}

void audit_log::Add(audit_event event) {
  event.at = options_.now();
  event.repeats = 0;
  {
    const std::lock_guard lock(mutex_);
    if (audit_event* earlier = FindMergeable(event)) {
      earlier->after = std::move(event.after);
      earlier->cause = std::move(event.cause);
      ++earlier->repeats;
      return;
    }
    event.number = ++last_number_;
    if (events_.size() >= options_.capacity && !events_.empty()) {
      events_.pop_front();
    }
    events_.push_back(event);
  }
  WriteLine(event);
}

audit_event* audit_log::FindMergeable(const audit_event& event) {
  if (!MaySwing(event.kind)) {
    return nullptr;
  }
  for (auto earlier = events_.rbegin(); earlier != events_.rend(); ++earlier) {
    if (event.at - earlier->at >= options_.merge_within) {
      return nullptr;
    }
    if (earlier->kind == event.kind && earlier->subject == event.subject) {
      return &*earlier;
    }
  }
  return nullptr;
}

std::vector<audit_event> audit_log::Recent(std::size_t max) const {
  const std::lock_guard lock(mutex_);
  const std::size_t count = std::min(max, events_.size());
  return {events_.end() - static_cast<std::ptrdiff_t>(count), events_.end()};
}

}  // namespace pistachioweir
