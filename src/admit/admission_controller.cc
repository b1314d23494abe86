// Admission of one target: queueing, ordering and refusals.
#include "include/admit/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pistachioweir {

namespace {

// Interval at which queued requests are checked for deadlines that can't be met
// any more, so that each is refused at once and not when its turn comes.
constexpr milliseconds kSweepPeriod{5};
// How long a downstream level applies without being renewed.
constexpr milliseconds kDownstreamLevelLifetime{200};
// Bounds of retry_after: no shorter than a refusal takes to have an effect, no
// longer than callers should wait for a service that has long recovered.
constexpr milliseconds kMinRetryAfter{20};
constexpr milliseconds kMaxRetryAfter{5000};
// Ranks per second by which a level decreases once slots are free; see
// admission_level.
constexpr std::int64_t kRanksPerSecond = 1000;

}  // namespace

admission_controller::admission_controller(const admission_options& options)
    : options_(options),
      // Capacity for running, queued and evicted requests of one Offer().
      items_(options.slots + 2 * static_cast<std::size_t>(options.max_queue) +
             2),
      service_times_(std::max(1U, options.methods)),
      downstream_(std::max(1U, options.methods)),
      limit_(options.slots) {
  for (std::uint32_t i = 0; i < items_.size(); ++i) {
    items_[i].next = first_free_;
    first_free_ = i;
  }
}

std::uint32_t admission_controller::limit() const {
  return options_.adaptive_limit ? limit_.value()
                                 : std::max(1U, options_.slots);
}

std::size_t admission_controller::QueueOf(priority level) const {
  return options_.use_deadlines ? static_cast<std::size_t>(level) : 0;
}

admission_rank admission_controller::LevelFor(std::uint32_t method,
                                              time_point now) const {
  if (!options_.use_level) {
    return 0;
  }
  const downstream_level& below = downstream_[method];
  return std::max(level_.level(), now < below.until ? below.level : 0);
}

bool admission_controller::HasCapacity(time_point now) const {
  return running_ < limit() && rate_.MayStart(now);
}

// Work of the same or higher priority goes first; lower priorities yield.
duration admission_controller::QueueDelay(std::size_t queue,
                                          time_point now) const {
  duration work(0);
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= queue; ++i) {
    work += queues_[i].work;
    ahead += queues_[i].count;
  }
  const duration wait = std::max(work / limit(), rate_.Wait(ahead, now));
  if (options_.assured_share <= 0) {
    return wait;
  }
  // At worst it gets its assured share of the slots, and of the starts that the
  // target's rate limit allows.
  const double own = static_cast<double>(queues_[queue].work.count()) /
                     (options_.assured_share * limit());
  const double starts = (queues_[queue].count + 1) / options_.assured_share;
  return std::min(
      wait, std::max(duration(static_cast<duration::rep>(own)),
                     rate_.Wait(static_cast<std::size_t>(starts) - 1, now)));
}

duration admission_controller::EstimatedWait(priority level,
                                             time_point now) const {
  return queued_ == 0 ? duration(0) : QueueDelay(QueueOf(level), now);
}

// Why a request can't start in time.
reason admission_controller::InfeasibleReason() const {
  return rate_.per_second() && running_ < limit() ? reason::kRateLimited
                                                  : reason::kDeadlineInfeasible;
}

bool admission_controller::CanFinish(const item& entry,
                                     duration wait,
                                     time_point now) const {
  return now + wait + entry.expected <= entry.request.deadline;
}

admission_decision admission_controller::Offer(const admission_request& request,
                                               time_point now,
                                               std::uint32_t random) {
  assert(request.method < service_times_.size());
  ++counters_.offered;
  const admission_rank rank = RankOf(request.level, request.ticket);
  if (request.deadline <= now) {
    return Refuse(request, reason::kDeadlinePassed, now, random);
  }
  if (!available_) {
    return Refuse(request, reason::kNotReady, now, random);
  }
  if (IsRefusedBy(LevelFor(request.method, now), request.level, request.ticket,
                  request.is_nested)) {
    return Refuse(request, reason::kOverload, now, random);
  }
  level_.OnArrival(rank, now);
  if (queued_ == 0 && HasCapacity(now)) {
    const std::uint32_t index = Allocate(request, now);
    if (index == kNone) {
      return Refuse(request, reason::kQueueFull, now, random);
    }
    Start(index, now);
    return {.action = admission_action::kRun,
            .handle = {index, items_[index].generation}};
  }
  const std::size_t queue = QueueOf(request.level);
  const duration expected = service_times_[request.method].UpperEstimate(now);
  const bool feasible =
      !options_.use_deadlines ||
      now + QueueDelay(queue, now) + expected <= request.deadline;
  if (!feasible) {
    EvictLowerThan(queue);
    return Refuse(request, InfeasibleReason(), now, random);
  }
  if (queued_ >= options_.max_queue && !EvictForSpace(queue)) {
    return Refuse(request, reason::kQueueFull, now, random);
  }
  const std::uint32_t index = Allocate(request, now);
  if (index == kNone) {
    return Refuse(request, reason::kQueueFull, now, random);
  }
  Append(queues_[queue], index);
  ++queued_;
  return {.action = admission_action::kQueued,
          .handle = {index, items_[index].generation}};
}

std::optional<admission_event> admission_controller::TakeNext(
    time_point now,
    std::uint32_t random) {
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepPeriod;
    EvictInfeasible(now);
  }
  while (evicted_.first == kNone && queued_ > 0 && HasCapacity(now)) {
    const std::uint32_t index = PickQueued();
    item& chosen = items_[index];
    const std::size_t queue = QueueOf(chosen.request.level);
    if (options_.use_deadlines && !CanFinish(chosen, duration(0), now)) {
      Evict(index, InfeasibleReason());
      level_.OnLoadRefusal(now);
      break;
    }
    Remove(queues_[queue], index);
    --queued_;
    AccrueAssuredShare(queue, chosen.expected);
    Start(index, now);
    return admission_event{.cookie = chosen.request.cookie,
                           .decision = {.action = admission_action::kRun,
                                        .handle = {index, chosen.generation}}};
  }
  if (evicted_.first == kNone) {
    if (queued_ == 0 && HasCapacity(now)) {
      level_.OnIdle(now);
    }
    return std::nullopt;
  }
  const std::uint32_t index = evicted_.first;
  const item& evicted = items_[index];
  Remove(evicted_, index);
  const admission_event event{
      .cookie = evicted.request.cookie,
      .decision = Refuse(evicted.request, evicted.why, now, random)};
  Release(index);
  return event;
}

void admission_controller::Finish(admission_handle handle,
                                  const finish_report& report,
                                  time_point now) {
  item* const entry = Find(handle);
  if (entry == nullptr || entry->state != item_state::kRunning) {
    return;
  }
  const duration elapsed = now - entry->started;
  service_time& known = service_times_[entry->request.method];
  if (report.answered) {
    const duration own = std::max(duration(0), elapsed - report.downstream);
    limit_.Add(own, overall_service_time_.Mean(now), running_, now);
    overall_service_time_.Add(own, now);
    known.Add(elapsed, now);
  }
  // Aborted runs would have taken at least as long. Without them the estimate
  // covers only the fast runs, and work is started that can't end in time.
  if (!report.answered && elapsed > known.UpperEstimate(now)) {
    known.Add(elapsed, now);
  }
  if (report.target_refused) {
    limit_.OnTargetRefused(running_, now);
  }
  level_.OnFinish(now);
  --running_;
  ++counters_.finished;
  Release(handle.index);
}

bool admission_controller::Cancel(admission_handle handle) {
  item* const entry = Find(handle);
  if (entry == nullptr) {
    return false;
  }
  if (entry->state == item_state::kEvicted) {
    Remove(evicted_, handle.index);
  } else if (entry->state == item_state::kQueued) {
    Remove(queues_[QueueOf(entry->request.level)], handle.index);
    --queued_;
  } else {
    return false;
  }
  ++counters_.cancelled;
  Release(handle.index);
  return true;
}

void admission_controller::SetDownstreamLevel(std::uint32_t method,
                                              admission_rank level,
                                              time_point now) {
  assert(method < downstream_.size());
  downstream_[method] = {.level = level,
                         .until = now + kDownstreamLevelLifetime};
}

void admission_controller::Reconfigure(std::uint32_t slots,
                                       std::uint32_t methods) {
  if (slots > options_.slots) {
    const std::size_t old_size = items_.size();
    items_.resize(old_size + slots - options_.slots);
    for (std::size_t i = old_size; i < items_.size(); ++i) {
      items_[i].next = first_free_;
      first_free_ = static_cast<std::uint32_t>(i);
    }
  }
  options_.slots = slots;
  // Requests in progress may name methods of the older manifest.
  const std::size_t size =
      std::max<std::size_t>(methods, service_times_.size());
  options_.methods = static_cast<std::uint32_t>(size);
  service_times_.resize(size);
  downstream_.resize(size);
  limit_.SetSlots(slots);
}

time_point admission_controller::next_wakeup() const {
  return queued_ > 0 ? next_sweep_ : time_point::max();
}

load_report admission_controller::Report(std::uint32_t method,
                                         time_point now) const {
  load_report report{
      .admission_level = available_ ? LevelFor(method, now) : kRankCount,
      .in_flight = running_,
      .queued = queued_,
      .limit = limit()};
  LimitByRate(now, &report);
  return report;
}

// Callers derive the wait from the queue, the limit and what a request usually
// takes. A rate limit is expressed in these terms, so that they send what it
// doesn't allow elsewhere, also those of an older build.
void admission_controller::LimitByRate(time_point now,
                                       load_report* report) const {
  const std::chrono::duration<double> usual = overall_service_time_.LastMean();
  if (!rate_.per_second() || usual <= duration(0)) {
    return;
  }
  const double concurrent = std::ceil(*rate_.per_second() * usual.count());
  const double limit =
      std::clamp(concurrent, 1.0, static_cast<double>(report->limit));
  const std::chrono::duration<double> wait = rate_.Wait(queued_, now);
  constexpr double kMaxQueued = 1e6;
  const double queued =
      std::min(kMaxQueued, (wait / usual + 1) * limit - 1 - running_);
  report->limit = static_cast<std::uint32_t>(limit);
  report->queued = std::max(report->queued,
                            static_cast<std::uint32_t>(std::max(0.0, queued)));
}

// A refused caller should retry when there is capacity: after the queued work,
// and after the level has fallen to its rank. Random jitter of up to a half
// keeps callers that were refused together from retrying together.
milliseconds admission_controller::RetryAfter(admission_rank rank,
                                              admission_rank level,
                                              time_point now,
                                              std::uint32_t random) const {
  const duration drain = QueueDelay(kPriorityCount - 1, now);
  const std::int64_t above = level > rank ? level - rank : 0;
  const auto fall = milliseconds(above * 1000 / kRanksPerSecond);
  const auto base =
      std::clamp(std::chrono::duration_cast<milliseconds>(drain) + fall,
                 kMinRetryAfter, kMaxRetryAfter);
  const auto spread = static_cast<std::int64_t>(random % 512);
  return base + milliseconds(base.count() * spread / 1024);
}

admission_decision admission_controller::Refuse(
    const admission_request& request,
    reason why,
    time_point now,
    std::uint32_t random) {
  ++counters_.refused[static_cast<std::size_t>(request.level)];
  if (why == reason::kDeadlineInfeasible || why == reason::kQueueFull ||
      why == reason::kRateLimited) {
    level_.OnLoadRefusal(now);
    // From now on every less important request is refused first.
    if (options_.use_level && request.level == priority::kCritical) {
      level_.RaiseTo(LowestRank(request.level));
    }
  }
  const admission_rank rank = RankOf(request.level, request.ticket);
  return {.action = admission_action::kRefused,
          .why = why,
          .retry_after =
              RetryAfter(rank, LevelFor(request.method, now), now, random)};
}

// Evicts the newest request of the lowest priority: it has waited least.
bool admission_controller::EvictForSpace(std::size_t queue) {
  for (std::size_t lowest = kPriorityCount; lowest-- > queue + 1;) {
    if (queues_[lowest].last != kNone) {
      Evict(queues_[lowest].last, reason::kQueueFull);
      return true;
    }
  }
  return false;
}

// A request is refused for lack of capacity only after all queued ones of lower
// priority have been, for the same lack.
void admission_controller::EvictLowerThan(std::size_t queue) {
  const reason why = InfeasibleReason() == reason::kRateLimited
                         ? reason::kRateLimited
                         : reason::kOverload;
  for (std::size_t lowest = kPriorityCount; lowest-- > queue + 1;) {
    while (queues_[lowest].first != kNone) {
      Evict(queues_[lowest].first, why);
    }
  }
}

void admission_controller::Evict(std::uint32_t index, reason why) {
  item& entry = items_[index];
  Remove(queues_[QueueOf(entry.request.level)], index);
  --queued_;
  entry.state = item_state::kEvicted;
  entry.why = why;
  Append(evicted_, index);
}

void admission_controller::EvictInfeasible(time_point now) {
  for (const item_list& list : queues_) {
    std::uint32_t index = list.first;
    while (index != kNone) {
      const item& entry = items_[index];
      const std::uint32_t next = entry.next;
      const bool feasible = options_.use_deadlines
                                ? CanFinish(entry, duration(0), now)
                                : now < entry.request.deadline;
      if (!feasible) {
        Evict(index, InfeasibleReason());
        level_.OnLoadRefusal(now);
      }
      index = next;
    }
  }
}

// Work started at one priority accrues an assured share for the lower
// priorities that are queued. Work started at a priority is deducted from what
// it had accrued.
void admission_controller::AccrueAssuredShare(std::size_t queue,
                                              duration work) {
  if (options_.assured_share <= 0) {
    return;
  }
  assured_[queue] = std::max(duration(0), assured_[queue] - work);
  const auto earned = duration(static_cast<duration::rep>(
      options_.assured_share * static_cast<double>(work.count())));
  for (std::size_t lower = queue + 1; lower < kPriorityCount; ++lower) {
    if (queues_[lower].first == kNone) {
      assured_[lower] = duration(0);
    } else {
      assured_[lower] += earned;
    }
  }
}

std::uint32_t admission_controller::PickQueued() const {
  for (std::size_t lower = kPriorityCount; lower-- > 1;) {
    const std::uint32_t first = queues_[lower].first;
    if (first != kNone && assured_[lower] > duration(0) &&
        assured_[lower] >= items_[first].expected) {
      return first;
    }
  }
  for (const item_list& list : queues_) {
    if (list.first != kNone) {
      return list.first;
    }
  }
  return kNone;
}

std::uint32_t admission_controller::Allocate(const admission_request& request,
                                             time_point now) {
  const std::uint32_t index = first_free_;
  if (index == kNone) {
    return kNone;
  }
  item& entry = items_[index];
  first_free_ = entry.next;
  entry.request = request;
  entry.arrived = now;
  entry.expected = service_times_[request.method].UpperEstimate(now);
  entry.previous = kNone;
  entry.next = kNone;
  entry.why = reason::kNone;
  entry.state = item_state::kQueued;
  return index;
}

void admission_controller::Release(std::uint32_t index) {
  item& entry = items_[index];
  ++entry.generation;
  entry.state = item_state::kFree;
  entry.next = first_free_;
  first_free_ = index;
}

void admission_controller::Start(std::uint32_t index, time_point now) {
  item& entry = items_[index];
  entry.state = item_state::kRunning;
  entry.started = now;
  ++running_;
  ++counters_.started;
  rate_.OnStart(now);
  level_.OnStart(QueueDelay(kPriorityCount - 1, now), now);
}

void admission_controller::Append(item_list& list, std::uint32_t index) {
  item& entry = items_[index];
  entry.previous = list.last;
  entry.next = kNone;
  (list.last == kNone ? list.first : items_[list.last].next) = index;
  list.last = index;
  ++list.count;
  list.work += entry.expected;
}

void admission_controller::Remove(item_list& list, std::uint32_t index) {
  item& entry = items_[index];
  (entry.previous == kNone ? list.first : items_[entry.previous].next) =
      entry.next;
  (entry.next == kNone ? list.last : items_[entry.next].previous) =
      entry.previous;
  --list.count;
  list.work -= entry.expected;
}

admission_controller::item* admission_controller::Find(
    admission_handle handle) {
  if (handle.index >= items_.size()) {
    return nullptr;
  }
  item& entry = items_[handle.index];
  const bool live =
      entry.generation == handle.generation && entry.state != item_state::kFree;
  return live ? &entry : nullptr;
}

}  // namespace pistachioweir
