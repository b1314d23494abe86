// Carrying out what the homes of keys decide.
#include "src/daemon/home_role.h"

#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <optional>
#include <variant>

#include "include/base/random_bits.h"
#include "src/daemon/home_execution.h"
#include "src/daemon/inbound_role.h"
#include "src/daemon/peer_directory.h"
#include "src/daemon/peer_paths.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kShards = 16;

// How long a daemon may take to tell its start. It only reads a counter, so
// silence means that it is gone or paused.
constexpr milliseconds kStartTimeout{100};

// One copy of an attempt may wait this long at least for its answer before the
// next goes out over a new connection.
constexpr milliseconds kLeastTryTime{50};
// Until the last copy, a try takes this part of the time that is left: early
// enough for another one, and late enough that a call that is queued or runs
// normally is seldom sent twice.
constexpr int kTryShare = 3;

constexpr milliseconds kNoTargetRetryAfter{500};

template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

key_home_options HomeOptions(const home_options& options, std::size_t shard) {
  key_home_options made{
      .self = {.vm = options.settings.vm, .incarnation = options.incarnation},
      .shard = static_cast<std::uint32_t>(shard),
      .shards = kShards};
  made.max_keys /= kShards;
  made.max_keys_per_caller /= kShards;
  made.max_answer_bytes /= kShards;
  return made;
}

}  // namespace

home_role::home_role(const home_options& options)
    : settings_(options.settings),
      incarnation_(options.incarnation),
      workers_(options.workers),
      peers_(options.peers),
      directory_(options.directory),
      outbound_(options.outbound),
      inbound_(options.inbound),
      homes_(kShards,
             [&](std::size_t shard) {
               return key_home(HomeOptions(options, shard));
             }),
      executions_(kShards,
                  [](std::size_t /*shard*/) { return execution_map(); }),
      waiters_(kShards, [](std::size_t /*shard*/) { return waiter_map(); }) {}

home_role::~home_role() = default;

issued_keys home_role::Issue(std::uint32_t count,
                             const std::string& caller,
                             milliseconds lifetime) {
  // Any shard: one that an address always had would be full of that caller's
  // keys while the others stand empty.
  const std::size_t shard = RandomBits64();
  return homes_.With(shard, [&](key_home& home) {
    return home.Issue(count, caller, lifetime, monotonic_clock::now());
  });
}

auto home_role::Begin(std::size_t worker, keyed_request request, callback done)
    -> std::shared_ptr<waiter> {
  auto waiting = std::make_shared<waiter>(
      waiter{.worker = worker,
             .id = waiter_id{next_waiter_.fetch_add(1)},
             .key = request.key,
             .done = std::move(done)});
  const auto number = static_cast<std::uint64_t>(waiting->id);
  waiters_.With(number,
                [&](waiter_map& waiters) { waiters[number] = waiting; });
  const begin_request asked{.key = request.key,
                            .fingerprint = request.fingerprint,
                            .waiter = waiting->id,
                            .retry_credit = request.call.request.retry_credit};
  const time_point now = monotonic_clock::now();
  const bool late = request.call.deadline <= now;
  home_action action = On(request.key, [&](key_home& home) {
    return late ? home.Refuse(asked, NotExecuted(reason::kDeadlinePassed), now)
                : home.Begin(asked, now);
  });
  const bool starts = std::holds_alternative<place_attempt>(action) ||
                      std::holds_alternative<send_attempt>(action);
  if (starts) {
    auto started = std::make_shared<execution>(worker, std::move(request),
                                               workers_.context(worker));
    executions_.With(waiting->key.sequence, [&](execution_map& executions) {
      executions[waiting->key.sequence] = started;
    });
    ArmDeadline(started);
  }
  CarryOut(std::move(action));
  return waiting;
}

void home_role::ArmDeadline(const execution_ptr& started) {
  started->deadline_timer.expires_at(started->request.call.deadline);
  started->deadline_timer.async_wait(
      [this, key = started->request.key](boost::system::error_code error) {
        if (error) {
          return;
        }
        CarryOut(On(key, [&](key_home& home) {
          return home.DeadlinePassed(key, monotonic_clock::now());
        }));
      });
}

void home_role::Leave(const std::shared_ptr<waiter>& leaving) {
  if (leaving->done == nullptr) {
    return;
  }
  leaving->done = nullptr;
  const auto number = static_cast<std::uint64_t>(leaving->id);
  waiters_.With(number, [&](waiter_map& waiters) { waiters.erase(number); });
  CarryOut(On(leaving->key, [&](key_home& home) {
    return home.RemoveWaiter(leaving->key, leaving->id);
  }));
}

void home_role::CarryOut(home_action action) {
  std::visit(overloaded{[](const no_action&) {},
                        [this](const place_attempt& place) { Place(place); },
                        [this](const send_attempt& send) { Send(send); },
                        [this](const send_cancel& cancel) { Cancel(cancel); },
                        [this](const finish_call& finish) { Finish(finish); }},
             action);
}

auto home_role::Find(const idempotency_key& key) -> execution_ptr {
  return executions_.With(key.sequence, [&](execution_map& executions) {
    const auto found = executions.find(key.sequence);
    return found == executions.end() ? nullptr : found->second;
  });
}

template <typename Work>
void home_role::OnWorkerOf(const execution_ptr& target, Work&& work) {
  boost::asio::dispatch(workers_.context(target->worker),
                        std::forward<Work>(work));
}

void home_role::Place(const place_attempt& action) {
  const execution_ptr placed = Find(action.key);
  if (placed == nullptr) {
    return;
  }
  OnWorkerOf(placed, [this, placed, action] { Bind(placed, action); });
}

// Chooses a target and binds the attempt to the start of the daemon there.
void home_role::Bind(const execution_ptr& placed, const place_attempt& action) {
  std::vector<vm_id> ruled_out = action.tried;
  ruled_out.insert(ruled_out.end(), placed->unreachable.begin(),
                   placed->unreachable.end());
  chosen_target chosen;
  const placement where =
      outbound_.Choose(placed->request.call, ruled_out, &chosen);
  const time_point now = monotonic_clock::now();
  if (!where.placed) {
    CarryOut(On(action.key, [&](key_home& home) {
      return home.NotPlaced(action.key, action.attempt,
                            NotExecuted(where.why, where.retry_after), now);
    }));
    return;
  }
  placed->chosen = chosen;
  placed->attempt = action.attempt;
  placed->sends = 0;
  auto start = directory_.StartOf(chosen.vm, now);
  if (chosen.vm == settings_.vm) {
    start = {.incarnation = incarnation_, .epoch = inbound_.Epoch()};
  }
  if (!start) {
    AskStart(placed, action);
    return;
  }
  CarryOut(On(action.key, [&](key_home& home) {
    return home.Placed(action.key, action.attempt,
                       {.vm = chosen.vm, .incarnation = start->incarnation},
                       start->epoch);
  }));
}

// An attempt must name the executor's start and epoch. Guessing an old one
// would be answered "stale", which doesn't say that nothing ran.
void home_role::AskStart(const execution_ptr& placed,
                         const place_attempt& action) {
  const vm_id vm = placed->chosen->vm;
  const auto address = directory_.AddressOf(vm);
  const time_point now = monotonic_clock::now();
  const time_point until =
      std::min(placed->request.call.deadline, now + kStartTimeout);
  const auto on_answer = [this, placed, action, vm,
                          now](const peer_result& result) {
    if (!result.answer) {
      EndTry(*placed, ResultOf(result), nullptr, monotonic_clock::now() - now);
      placed->unreachable.push_back(vm);
      Bind(placed, action);
      return;
    }
    const answer_envelope& told = *result.answer;
    directory_.NoteStart(vm,
                         {.incarnation = told.executor, .epoch = told.epoch},
                         monotonic_clock::now());
    CarryOut(On(action.key, [&](key_home& home) {
      return home.Placed(action.key, action.attempt,
                         {.vm = vm, .incarnation = told.executor}, told.epoch);
    }));
  };
  if (!address) {
    boost::asio::post(workers_.context(placed->worker),
                      [on_answer] { on_answer({}); });
    return;
  }
  peers_.Send(
      placed->worker, *address,
      {.path = kPeerHelloPath, .body = {}, .deadline = until, .fresh = true},
      on_answer);
}

void home_role::Send(const send_attempt& action) {
  const execution_ptr sending = Find(action.binding.key);
  if (sending == nullptr) {
    return;
  }
  OnWorkerOf(sending, [this, sending, action] {
    if (action.delay == milliseconds(0)) {
      SendNow(sending, action);
      return;
    }
    sending->pause_timer.expires_after(action.delay);
    sending->pause_timer.async_wait(
        [this, sending, action](boost::system::error_code error) {
          if (!error) {
            SendNow(sending, action);
          }
        });
  });
}

void home_role::SendNow(const execution_ptr& sending,
                        const send_attempt& action) {
  const time_point now = monotonic_clock::now();
  const time_point deadline = sending->request.call.deadline;
  const bool first_copy = sending->sends == 0;
  ++sending->sends;
  const bool last_copy = sending->sends >= key_home_options{}.max_sends;
  time_point until = deadline;
  if (!last_copy) {
    const duration share = (deadline - now) / kTryShare;
    until = std::min(deadline, now + std::max<duration>(share, kLeastTryTime));
  }
  call_envelope envelope = sending->request.call.request;
  envelope.retry_credit = action.credit;
  envelope.binding = action.binding;
  // The executor works to the caller's deadline, whatever one copy waits.
  envelope.remaining =
      std::max(milliseconds(0),
               std::chrono::duration_cast<milliseconds>(deadline - now));
  outbound_.SendTo(sending->worker, action.target, std::move(envelope), until,
                   /*fresh=*/!first_copy,
                   [this, sending, action, now](const peer_result& result) {
                     OnAttempt(sending, action, now, result);
                   });
}

void home_role::OnAttempt(const execution_ptr& sent,
                          const send_attempt& action,
                          time_point at,
                          const peer_result& result) {
  const idempotency_key& key = action.binding.key;
  const std::uint32_t attempt = action.binding.attempt;
  const time_point now = monotonic_clock::now();
  const answer_envelope* answer = result.answer ? &*result.answer : nullptr;
  if (sent->attempt == attempt) {
    EndTry(*sent, ResultOf(result), answer, now - at);
  }
  if (answer != nullptr) {
    sent->unspent_credit = answer->unspent_credit;
  }
  CarryOut(On(key, [&](key_home& home) -> home_action {
    if (answer != nullptr) {
      return home.AttemptAnswered(key, attempt, *answer, now);
    }
    if (result.end == exchange_end::kNotSent) {
      return home.AttemptNotSent(key, attempt, now);
    }
    return home.AttemptLost(key, attempt, now);
  }));
}

void home_role::EndTry(execution& ended,
                       call_result result,
                       const answer_envelope* answer,
                       duration latency) {
  if (!ended.chosen) {
    return;
  }
  outbound_.Release(ended.request.call, *ended.chosen, result, latency, answer);
  ended.chosen.reset();
}

// Best effort: what can't be cancelled runs to its end, and a caller who asks
// again learns of it.
void home_role::Cancel(const send_cancel& action) {
  const idempotency_key key = action.binding.key;
  const std::uint32_t attempt = action.binding.attempt;
  const auto on_answer = [this, key, attempt](const answer_envelope& answer) {
    CarryOut(On(key, [&](key_home& home) {
      return home.CancelAnswered(key, attempt, answer, monotonic_clock::now());
    }));
  };
  if (action.target == settings_.vm) {
    on_answer(inbound_.CancelAttempt(action.binding));
    return;
  }
  const auto address = directory_.AddressOf(action.target);
  if (!address) {
    return;
  }
  const call_envelope envelope{.binding = action.binding};
  const std::size_t worker = workers_.NextWorker();
  boost::asio::post(
      workers_.context(worker),
      [this, worker, address = *address, body = Encode(envelope), on_answer] {
        peers_.Send(worker, address,
                    {.path = kPeerCancelPath,
                     .body = body,
                     .deadline = monotonic_clock::now() + kStartTimeout,
                     .fresh = true},
                    [on_answer](const peer_result& result) {
                      if (result.answer) {
                        on_answer(*result.answer);
                      }
                    });
      });
}

void home_role::Finish(const finish_call& action) {
  // A key that is told about again and again has no execution.
  const execution_ptr ended = Find(action.key);
  outbound_result told{.result = action.result};
  const bool settles = ended != nullptr && !Runs(action.key);
  if (settles) {
    executions_.With(action.key.sequence, [&](execution_map& executions) {
      executions.erase(action.key.sequence);
    });
    told.unspent_credit = ended->unspent_credit;
    OnWorkerOf(ended, [ended] { ended->deadline_timer.cancel(); });
  }
  for (const waiter_id waiter : action.waiters) {
    Answer(waiter, told);
  }
  if (action.cancel) {
    Cancel(*action.cancel);
  }
}

bool home_role::Runs(const idempotency_key& key) {
  return homes_.With(key_home::ShardOf(key),
                     [&](key_home& home) { return home.IsRunning(key); });
}

void home_role::Answer(waiter_id id, const outbound_result& result) {
  const auto number = static_cast<std::uint64_t>(id);
  const auto waiting = waiters_.With(number, [&](waiter_map& waiters) {
    const auto node = waiters.extract(number);
    return node.empty() ? nullptr : node.mapped();
  });
  if (waiting == nullptr) {
    return;
  }
  boost::asio::dispatch(workers_.context(waiting->worker), [waiting, result] {
    callback done = std::exchange(waiting->done, nullptr);
    if (done != nullptr) {
      done(result);
    }
  });
}

void home_role::StartDraining() {
  homes_.ForEach([](key_home& home) { home.StartDraining(); });
}

bool home_role::drained() {
  bool all = true;
  homes_.ForEach([&](key_home& home) { all = all && home.drained(); });
  return all;
}

void home_role::Tick() {
  const time_point now = monotonic_clock::now();
  homes_.ForEach([now](key_home& home) { home.Tick(now); });
}

key_home_counters home_role::Counters() {
  key_home_counters sum;
  homes_.ForEach([&](key_home& home) {
    const key_home_counters& each = home.counters();
    sum.issued += each.issued;
    sum.issue_refused += each.issue_refused;
    sum.started += each.started;
    sum.joined += each.joined;
    sum.replayed += each.replayed;
    sum.resent += each.resent;
    sum.moved += each.moved;
    sum.unknown += each.unknown;
    sum.evicted += each.evicted;
    sum.answers_discarded += each.answers_discarded;
  });
  return sum;
}

}  // namespace pistachioweir
