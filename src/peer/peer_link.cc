// Connections to one peer, and the calls on them.
#include "src/peer/peer_link.h"

#include <utility>
#include <vector>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cassert>

#include "include/base/log.h"
#include "src/net/tcp_options.h"
#include "src/peer/changes_frame.h"

namespace pistachioweir {
namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

// While calls wait for answers, the connection is looked at this often.
constexpr milliseconds kBusyInterval{50};
// An idle connection is tried this often, so that one that has gone silent is
// found before a call is sent into it.
constexpr milliseconds kIdleInterval{1000};
// While calls wait for answers, the peer has to confirm this often that it
// hears what is sent.
constexpr milliseconds kConfirmInterval{250};
// A peer that sends but has confirmed nothing for this long hears nothing. Much
// longer than a busy one takes: new connections would keep it busier.
constexpr milliseconds kDeafInterval{1000};
// Between attempts to reach a peer.
constexpr milliseconds kRetryInterval{100};

// Cancellations that are kept for a peer without a connection. Older ones are
// of calls whose deadlines end them soon.
constexpr std::size_t kMaxUnsentCancels = 4096;
// Questions for a proof that may wait for their answers at a time.
constexpr std::size_t kMostProofsAsked = 16;

peer_answer MadeUpAnswer(std::uint64_t number, outcome_kind kind, reason why) {
  peer_answer made_up;
  made_up.answer.number = number;
  made_up.answer.kind = kind;
  made_up.answer.why = why;
  return made_up;
}

}  // namespace

peer_link::peer_link(boost::asio::io_context& context,
                     peer_link_options options,
                     peer_link_events events)
    : context_(context),
      options_(std::move(options)),
      events_(std::move(events)),
      timer_(context),
      connect_timer_(context),
      last_used_(monotonic_clock::now()) {
  assert(options_.last_number != nullptr);
}

link_state peer_link::state() const {
  if (closed_) {
    return link_state::kDown;
  }
  if (current_ != nullptr) {
    return link_state::kUp;
  }
  const bool trying = connecting_ != nullptr || candidate_ != nullptr;
  return trying ? link_state::kConnecting : link_state::kDown;
}

time_point peer_link::DoubtedSince() const {
  // What is asked behind a large body arrives once the peer has taken that.
  const time_point taken = current_->unsent_bytes() > kMostUnreadBytes
                               ? current_->last_taken()
                               : time_point::min();
  const time_point silent =
      last_asked_ > current_->last_heard()
          ? std::max(last_asked_, taken) + options_.silence
          : time_point::max();
  const time_point deaf =
      unconfirmed_since_ == time_point::max()
          ? time_point::max()
          : std::max(unconfirmed_since_, taken) + kDeafInterval;
  return std::min(silent, deaf);
}

bool peer_link::IsWell(time_point now) const {
  return is_up() && now < DoubtedSince();
}

std::optional<time_point> peer_link::last_heard() const {
  return is_up() ? std::optional(current_->last_heard()) : std::nullopt;
}

stream_load peer_link::load() const {
  stream_load sum;
  if (closed_) {
    return sum;
  }
  if (current_ != nullptr) {
    sum.Add(current_->load());
  }
  if (candidate_ != nullptr) {
    sum.Add(candidate_->load());
    sum.unnamed = 1;
  }
  return sum;
}

std::uint64_t peer_link::SettledBelow() const {
  return calls_.empty() ? *options_.last_number + 1 : calls_.begin()->first;
}

std::uint64_t peer_link::Send(call_frame call, callback done) {
  const time_point now = monotonic_clock::now();
  const std::uint64_t number = ++*options_.last_number;
  call.number = number;
  if (closed_) {
    boost::asio::post(context_, [done = std::move(done), number] {
      done(MadeUpAnswer(number, outcome_kind::kNotExecuted, reason::kNotReady));
    });
    return number;
  }
  last_used_ = now;
  carries_calls_ = true;
  const time_point deadline = now + call.remaining;
  call_record& record =
      calls_
          .emplace(number, call_record{.call = std::move(call),
                                       .deadline = deadline,
                                       .done = std::move(done)})
          .first->second;
  if (current_ != nullptr && resumed_) {
    Write(record);
  } else if (state() == link_state::kDown) {
    Connect();
  }
  ArmTimer();
  return number;
}

void peer_link::Write(call_record& record) {
  const time_point now = monotonic_clock::now();
  const milliseconds waited =
      record.call.remaining - TimeLeft(record.deadline, now);
  Elapse(waited, &record.call);
  record.call.sent =
      reads_send_time_ ? SendTime(boot_clock::now()) : milliseconds(0);
  // Kept for another connection, whose peer may read it.
  std::optional<call_lineage> unread;
  if (!Has(features_, peer_features::kLineage)) {
    unread.swap(record.call.lineage);
  }
  record.call.settled_below = SettledBelow();
  record.sent_to = receiver_;
  record.sent_at = now;
  current_->Send(EncodeParts(record.call));
  if (unread) {
    unread.swap(record.call.lineage);
  }
}

bool peer_link::Cancel(std::uint64_t number) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) {
    return false;
  }
  const incarnation_id sent_to = found->second.sent_to;
  calls_.erase(found);
  if (sent_to == incarnation_id{}) {
    return true;
  }
  if (sent_to == receiver_) {
    SendCancel(number);
  }
  return false;
}

// A call whose cancellation is lost with a connection runs on, or is begun from
// the peer's queue, although nobody waits for it.
void peer_link::SendCancel(std::uint64_t number) {
  if (current_ != nullptr) {
    current_->Send(EncodeNumbered(frame_kind::kCancel, number));
    return;
  }
  if (unsent_cancels_.size() == kMaxUnsentCancels) {
    unsent_cancels_.pop_front();
  }
  unsent_cancels_.push_back(number);
}

void peer_link::SendSuspects(std::shared_ptr<const std::string> frame) {
  if (current_ != nullptr && !current_->SendNews(std::move(frame))) {
    missed_suspects_ = true;
  }
}

void peer_link::SendMissedSuspects() {
  if (current_ != nullptr && missed_suspects_) {
    SendKnownSuspects();
  }
}

void peer_link::SendKnownSuspects() {
  const suspects_frame known = events_.known_suspects();
  missed_suspects_ =
      !known.entries.empty() &&
      !current_->SendNews(std::make_shared<const std::string>(Encode(known)));
}

void peer_link::SendUsage(const usage_frame& usage) {
  last_used_ = monotonic_clock::now();
  if (current_ != nullptr) {
    current_->Send(Encode(usage));
  } else {
    Probe();
  }
}

bool peer_link::ReadsRepeatReports() {
  last_used_ = monotonic_clock::now();
  Probe();
  return current_ != nullptr && Has(features_, peer_features::kRepeatSharing);
}

void peer_link::SendRepeatReport(const repeat_frame& report) {
  if (ReadsRepeatReports()) {
    current_->Send(Encode(report, frame_kind::kRepeatReport));
  }
}

void peer_link::Probe() {
  if (!closed_ && state() == link_state::kDown) {
    Connect();
    ArmTimer();
  }
}

void peer_link::Follow() {
  if (std::exchange(follows_, true)) {
    return;
  }
  if (current_ != nullptr) {
    current_->Send(EncodeNumbered(frame_kind::kFollow, events_.revision()));
  }
  Probe();
}

void peer_link::Unfollow() {
  if (std::exchange(follows_, false) && current_ != nullptr) {
    current_->Send(EncodeEmpty(frame_kind::kUnfollow));
  }
  last_used_ = monotonic_clock::now();
}

void peer_link::AskChanges() {
  if (current_ != nullptr) {
    current_->Send(EncodeNumbered(frame_kind::kAskChanges, events_.revision()));
  }
}

void peer_link::AskProof() {
  if (current_ == nullptr) {
    return;
  }
  if (proofs_asked_.size() == kMostProofsAsked) {
    proofs_asked_.pop_front();
  }
  proofs_asked_.emplace_back(++last_proof_number_, boot_clock::now());
  current_->Send(EncodeNumbered(frame_kind::kAskProof, last_proof_number_));
}

// Answers come in the order of the questions; one that got none was lost with
// its connection.
void peer_link::OnProof(const proof_frame& frame) {
  while (!proofs_asked_.empty() && proofs_asked_.front().first < frame.number) {
    proofs_asked_.pop_front();
  }
  if (proofs_asked_.empty() || proofs_asked_.front().first != frame.number) {
    return;
  }
  const boot_time asked = proofs_asked_.front().second;
  proofs_asked_.pop_front();
  Notify(events_.on_proof, frame.proof, asked);
}

void peer_link::Close() {
  closed_ = true;
  timer_.cancel();
  connect_timer_.cancel();
  if (connecting_ != nullptr) {
    error_code ignored;
    connecting_->close(ignored);
  }
  for (const stream_ptr& stream : {current_, candidate_}) {
    if (stream != nullptr) {
      stream->Close();
    }
  }
}

void peer_link::Connect() {
  if (closed_) {
    return;
  }
  const std::uint64_t attempt = ++connect_attempt_;
  auto socket = std::make_shared<tcp::socket>(context_);
  connecting_ = socket;
  const tcp::endpoint remote(boost::asio::ip::make_address(options_.address.ip),
                             options_.address.port);
  connect_timer_.expires_after(options_.connect_timeout);
  connect_timer_.async_wait(
      [self = weak_from_this(), attempt](error_code error) {
        const auto link = self.lock();
        if (!error && link != nullptr) {
          link->OnConnectFailed(attempt, "timeout");
        }
      });
  socket->async_connect(
      remote, [self = weak_from_this(), socket, attempt](error_code error) {
        const auto link = self.lock();
        if (link == nullptr || link->closed_ ||
            link->connect_attempt_ != attempt || link->connecting_ == nullptr) {
          return;
        }
        if (error) {
          link->OnConnectFailed(attempt, error.message());
        } else {
          link->OnConnected(socket);
        }
      });
}

void peer_link::OnConnected(const socket_ptr& socket) {
  SetUpConnection(*socket, kPeerSilence);
  connecting_ = nullptr;
  candidate_ =
      std::make_shared<frame_stream>(std::move(*socket), options_.memory);
  const std::weak_ptr<frame_stream> stream = candidate_;
  candidate_->Start(
      [self = weak_from_this(), stream](const frame_view& frame) {
        const auto link = self.lock();
        const auto from = stream.lock();
        if (link != nullptr && from != nullptr) {
          link->OnFrame(from, frame);
        }
      },
      [self = weak_from_this(), stream](std::string_view why) {
        const auto link = self.lock();
        const auto ended = stream.lock();
        if (link != nullptr && ended != nullptr) {
          link->OnStreamEnd(ended, why);
        }
      },
      [self = weak_from_this()](frame_kind kind, std::uint64_t number) {
        const auto link = self.lock();
        if (link != nullptr && kind == frame_kind::kAnswer) {
          LogWarning("answer_dropped",
                     {{.name = "why", .value = "no room"},
                      {.name = "number", .value = std::to_string(number)}});
          link->EndCall(number, outcome_kind::kUnknown, reason::kTableFull);
        }
      });
  candidate_->Send(
      Encode(hello_frame{.sender = options_.self, .vm = options_.vm}));
}

void peer_link::OnConnectFailed(std::uint64_t attempt, std::string_view why) {
  if (closed_ || connect_attempt_ != attempt) {
    return;
  }
  connect_timer_.cancel();
  if (connecting_ != nullptr) {
    error_code ignored;
    connecting_->close(ignored);
    connecting_ = nullptr;
  }
  if (candidate_ != nullptr) {
    candidate_->Close();
    candidate_ = nullptr;
  }
  if (current_ == nullptr) {
    SetReachable(false, why);
  }
  ArmTimer();
}

void peer_link::OnFrame(const stream_ptr& stream, const frame_view& frame) {
  if (closed_) {
    return;
  }
  switch (frame.kind) {
    case frame_kind::kWelcome:
      if (const auto welcome = DecodeWelcome(frame.payload)) {
        OnWelcome(stream, *welcome);
        return;
      }
      break;
    case frame_kind::kAnswer:
      if (auto answer = DecodeAnswerFrame(frame.payload)) {
        OnAnswer(*std::move(answer));
        return;
      }
      break;
    case frame_kind::kPong:
    case frame_kind::kHeartbeat:
      if (const auto pong = DecodePong(frame.payload)) {
        if (frame.kind == frame_kind::kPong && stream == current_) {
          Confirm(monotonic_clock::now());
          Resume();
        }
        Notify(events_.on_load, pong->load);
        Notify(events_.on_report, pong->report);
        return;
      }
      break;
    case frame_kind::kPing:
      if (stream == current_) {
        reads_send_time_ = true;
        features_ = DecodeReturnedPing(frame.payload);
        if (Has(features_, peer_features::kNotices)) {
          SendNotice();
        }
        Resume();
      }
      return;
    case frame_kind::kNotice:
      if (const auto notice = DecodeNotice(frame.payload)) {
        Notify(events_.on_notice, *notice);
        return;
      }
      break;
    case frame_kind::kLeaving:
      Notify(events_.on_leaving, true);
      return;
    case frame_kind::kSuspects:
      if (const auto suspects = DecodeSuspectsFrame(frame.payload)) {
        const suspects_frame reply = events_.on_suspects(*suspects);
        if (!reply.empty()) {
          stream->SendNews(std::make_shared<const std::string>(Encode(reply)));
        }
        return;
      }
      break;
    case frame_kind::kAskChanges:
      if (const auto revision = DecodeNumber(frame.payload)) {
        OnAskChanges(stream, *revision);
        return;
      }
      break;
    case frame_kind::kChanges:
      if (OnChanges(frame.payload)) {
        return;
      }
      break;
    case frame_kind::kQuota:
      if (const auto quota = DecodeQuota(frame.payload)) {
        Notify(events_.on_quota, *quota);
        return;
      }
      break;
    case frame_kind::kRepeatGrant:
      Notify(events_.on_repeat_grant, DecodeRepeat(frame.payload));
      return;
    case frame_kind::kProof:
      if (const auto proof = DecodeProof(frame.payload)) {
        OnProof(*proof);
        return;
      }
      break;
    default:
      break;
  }
  OnBroken(stream, frame.kind);
}

void peer_link::OnAskChanges(const stream_ptr& stream, std::uint64_t revision) {
  auto changes =
      events_.changes_since ? events_.changes_since(revision) : nullptr;
  if (changes != nullptr) {
    stream->Send(std::move(changes));
  }
}

bool peer_link::OnChanges(std::string_view payload) {
  auto changes = DecodeChanges(payload);
  if (!changes) {
    return false;
  }
  changes->from = options_.address.ip;
  Notify(events_.on_changes, *changes);
  return true;
}

void peer_link::OnBroken(const stream_ptr& stream, frame_kind kind) {
  LogWarning(
      "peer_frame_refused",
      {{.name = "peer", .value = ToString(options_.address)},
       {.name = "kind", .value = std::string(kFrameKindNames.Name(kind))}});
  stream->Close();
  OnStreamEnd(stream, "unexpected frame");
}

void peer_link::OnWelcome(const stream_ptr& stream,
                          const welcome_frame& welcome) {
  if (stream != candidate_) {
    return;
  }
  connect_timer_.cancel();
  if (current_ != nullptr) {
    current_->Close();
  }
  current_ = std::exchange(candidate_, nullptr);
  reads_send_time_ = false;
  features_ = peer_features::kNone;
  Confirm(monotonic_clock::now());
  SetReachable(true, "welcome");
  Notify(events_.on_connected);
  Notify(events_.on_leaving, welcome.leaving);
  Notify(events_.on_load, welcome.load);
  Notify(events_.on_report, welcome.report);
  if (closed_) {
    return;
  }
  SendKnownSuspects();
  if (follows_) {
    current_->Send(EncodeNumbered(frame_kind::kFollow, events_.revision()));
  }
  // Ahead of the first calls, so that the peer knows how old they are.
  Ping();
  welcomed_ = welcome.receiver;
  resumed_ = false;
  ResumeOrWait();
}

// A daemon that has restarted doesn't know what its target had said. It is told
// before it gets calls, which have to wait until it has answered the ping: only
// then is it known to read notices.
void peer_link::ResumeOrWait() {
  const bool restarted = welcomed_ != receiver_;
  if (!restarted || !NoticeOfPeer().says_anything()) {
    Resume();
  }
}

known_notice peer_link::NoticeOfPeer() const {
  return events_.known_notice_of_peer ? events_.known_notice_of_peer()
                                      : known_notice();
}

void peer_link::SendNotice() {
  current_->Send(Encode(NoticeOfPeer()));
}

// What was sent to the incarnation that answers is asked for; what was sent to
// an earlier one can't be known any more (guard RECEIVER_INCARNATION in
// spec/peer_attempts.pml).
void peer_link::Resume() {
  if (std::exchange(resumed_, true)) {
    return;
  }
  const incarnation_id receiver = welcomed_;
  const incarnation_id before = std::exchange(receiver_, receiver);
  for (const std::uint64_t number : std::exchange(unsent_cancels_, {})) {
    if (before == receiver) {
      SendCancel(number);
    }
  }
  std::vector<std::uint64_t> lost;
  for (auto& [number, record] : calls_) {
    if (record.sent_to == incarnation_id{}) {
      Write(record);
    } else if (record.sent_to == receiver) {
      current_->Send(EncodeNumbered(frame_kind::kAsk, number));
    } else {
      lost.push_back(number);
    }
  }
  if (before != incarnation_id{} && before != receiver) {
    LogEvent("peer_restarted",
             {{.name = "peer", .value = ToString(options_.address)},
              {.name = "calls_lost", .value = std::to_string(lost.size())}});
  }
  for (const std::uint64_t number : lost) {
    EndCall(number, outcome_kind::kUnknown, reason::kConnectionLost);
  }
}

void peer_link::OnAnswer(answer_frame answer) {
  Notify(events_.on_report, answer.report);
  const auto found = calls_.find(answer.number);
  if (closed_ || found == calls_.end()) {
    return;  // Cancelled, or a second answer after the call was asked for.
  }
  const callback done = std::move(found->second.done);
  Confirm(found->second.sent_at);
  calls_.erase(found);
  done({.answer = std::move(answer), .heard = true});
}

void peer_link::OnStreamEnd(const stream_ptr& stream, std::string_view why) {
  if (closed_) {
    return;
  }
  if (stream == candidate_) {
    OnConnectFailed(connect_attempt_, why);
    return;
  }
  if (stream != current_) {
    return;
  }
  current_ = nullptr;
  LogEvent("peer_connection_lost",
           {{.name = "peer", .value = ToString(options_.address)},
            {.name = "why", .value = std::string(why)},
            {.name = "calls", .value = std::to_string(calls_.size())}});
  if (state() == link_state::kDown) {
    Connect();
  }
  ArmTimer();
}

void peer_link::SetReachable(bool reachable, std::string_view why) {
  if (reachable) {
    unreachable_since_ = time_point::max();
  } else if (unreachable_since_ == time_point::max()) {
    unreachable_since_ = monotonic_clock::now();
  }
  const bool changed = std::exchange(reachable_, reachable) != reachable;
  if (changed) {
    Notify(events_.on_reachable, reachable, why);
  }
  if (!reachable) {
    GiveUpMovable();
  }
}

// Calls that have not left may go elsewhere, and so may those that may run
// twice, once the peer has been out of reach for a while. The others wait: the
// peer may still tell what became of them.
void peer_link::GiveUpMovable() {
  const bool patient =
      monotonic_clock::now() - unreachable_since_ < options_.patience;
  std::vector<std::pair<std::uint64_t, outcome_kind>> ended;
  for (const auto& [number, record] : calls_) {
    if (record.sent_to == incarnation_id{}) {
      ended.emplace_back(number, outcome_kind::kNotExecuted);
    } else if (!patient && record.call.repeats == repeat_policy::kIdempotent) {
      if (record.sent_to == receiver_) {
        SendCancel(number);
      }
      ended.emplace_back(number, outcome_kind::kUnknown);
    }
  }
  for (const auto& [number, kind] : ended) {
    EndCall(number, kind,
            kind == outcome_kind::kUnknown ? reason::kConnectionLost
                                           : reason::kNotReady);
  }
}

void peer_link::EndCall(std::uint64_t number, outcome_kind kind, reason why) {
  const auto found = calls_.find(number);
  if (closed_ || found == calls_.end()) {
    return;
  }
  const callback done = std::move(found->second.done);
  calls_.erase(found);
  done(MadeUpAnswer(number, kind, why));
}

void peer_link::ArmTimer() {
  if (closed_) {
    return;
  }
  const bool idle = calls_.empty() && reachable_;
  const time_point due =
      monotonic_clock::now() + (idle ? kIdleInterval : kBusyInterval);
  if (timer_armed_ && timer_due_ <= due) {
    return;
  }
  timer_armed_ = true;
  timer_due_ = due;
  timer_.expires_at(due);
  timer_.async_wait([self = weak_from_this(), due](error_code error) {
    const auto link = self.lock();
    if (error || link == nullptr || link->timer_due_ != due || link->closed_) {
      return;
    }
    link->timer_armed_ = false;
    link->OnTimer();
  });
}

bool peer_link::NeedsPing(time_point now) const {
  const time_point heard = current_->last_heard();
  if (last_asked_ > heard) {
    return false;
  }
  if (calls_.empty()) {
    return now - heard >= kIdleInterval;
  }
  return now - heard >= options_.silence / 2 ||
         now - std::max(confirmed_, last_asked_) >= kConfirmInterval;
}

void peer_link::Ping() {
  last_asked_ = monotonic_clock::now();
  unconfirmed_since_ = std::min(unconfirmed_since_, last_asked_);
  current_->Send(EncodePing(SendTime(boot_clock::now())));
}

// The peer has heard what was sent until then. What it sends by itself says
// only that it can be heard.
void peer_link::Confirm(time_point until) {
  confirmed_ = std::max(confirmed_, until);
  if (confirmed_ >= unconfirmed_since_) {
    unconfirmed_since_ = time_point::max();
  }
}

void peer_link::OnTimer() {
  const time_point now = monotonic_clock::now();
  if (current_ == nullptr) {
    if (!calls_.empty()) {
      GiveUpMovable();
    }
    const bool due = now - unreachable_since_ >= kRetryInterval;
    if (state() == link_state::kDown && (due || !calls_.empty())) {
      Connect();
    }
    if (!calls_.empty() || !reachable_) {
      ArmTimer();
    }
    return;
  }
  // The time is judged from when something was asked: a connection that nobody
  // used may have been quiet for long and still be well.
  if (!IsWell(now)) {
    if (connecting_ == nullptr && candidate_ == nullptr) {
      Connect();
    }
    if (now - DoubtedSince() >= options_.patience) {
      // Nothing on the old connection and no new one: as good as down.
      current_->Close();
      current_ = nullptr;
      SetReachable(false, "silent");
    }
  } else if (NeedsPing(now)) {
    Ping();
  }
  ArmTimer();
}

}  // namespace pistachioweir
