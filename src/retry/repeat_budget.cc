// Counts of requests and repeats within the window.
#include "include/retry/repeat_budget.h"

namespace pistachioweir {

void repeat_budget::DropExpired(time_point now) {
  const time_point oldest = now - options_.window;
  while (!slots_.empty() && slots_.front().begin < oldest) {
    requests_ -= slots_.front().requests;
    slots_.pop_front();
  }
  while (!spent_.empty() && spent_.front() < oldest) {
    spent_.pop_front();
  }
}

void repeat_budget::OnRequest(time_point now) {
  DropExpired(now);
  const duration width = options_.window / kSlots;
  if (slots_.empty() || now - slots_.back().begin >= width) {
    slots_.push_back({.begin = now});
  }
  ++slots_.back().requests;
  ++requests_;
}

bool repeat_budget::TrySpend(time_point now) {
  DropExpired(now);
  const double allowed =
      options_.reserve + options_.ratio * static_cast<double>(requests_);
  if (static_cast<double>(spent_.size() + 1) > allowed) {
    return false;
  }
  spent_.push_back(now);
  return true;
}

std::size_t repeat_budget::spent(time_point now) {
  DropExpired(now);
  return spent_.size();
}

}  // namespace pistachioweir
