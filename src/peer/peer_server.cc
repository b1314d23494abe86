// Connections from other daemons.
#include "src/peer/peer_server.h"

#include <utility>

#include <algorithm>
#include <string>

#include "include/base/log.h"
#include "src/forward/executor.h"
#include "src/net/tcp_listener.h"
#include "src/net/tcp_options.h"
#include "src/peer/changes_frame.h"

namespace pistachioweir {
namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

// Daemons that are asked for changes at a time: one may be cut off from the
// store for long and know of few, and all of them would answer with as many
// whole views.
constexpr std::size_t kAskedAtOnce = 3;

// Of a call for whose body there is no room: requests end within about that
// time.
constexpr milliseconds kNoRoomRetryAfter{1000};

std::string RemoteIp(const tcp::socket& socket) {
  error_code ignored;  // A connection that has ended already has none.
  return socket.remote_endpoint(ignored).address().to_string();
}

std::uint64_t KeyOf(incarnation_id sender) {
  return static_cast<std::uint64_t>(sender);
}

// Older builds end a connection over which a reason comes that they don't know.
std::string EncodeForOlder(const answer_frame& answer) {
  if (answer.why != reason::kRateLimited) {
    return Encode(answer);
  }
  answer_frame known = answer;
  known.why = reason::kOverload;
  return Encode(known);
}

}  // namespace

// One connection.
class peer_server::session
    : public std::enable_shared_from_this<peer_server::session> {
 public:
  session(peer_server& server, tcp::socket socket)
      : server_(server),
        ip_(RemoteIp(socket)),
        stream_(std::make_shared<frame_stream>(std::move(socket),
                                               server.options_.memory)) {}

  void Start() {
    const std::weak_ptr<session> self = weak_from_this();
    stream_->Start(
        [self](const frame_view& frame) {
          if (const auto found = self.lock()) {
            found->OnFrame(frame);
          }
        },
        [self](std::string_view why) {
          if (const auto found = self.lock()) {
            LogEvent("peer_session_lost",
                     {{.name = "peer", .value = found->ip_},
                      {.name = "why", .value = std::string(why)}});
            found->server_.OnEnd(found);
          }
        },
        [self](frame_kind kind, std::uint64_t number) {
          const auto found = self.lock();
          if (found && kind == frame_kind::kCall &&
              found->sender_ != incarnation_id{}) {
            found->server_.OnDropped(*found, number);
          }
        });
  }

  void Send(std::string bytes) { stream_->Send(std::move(bytes)); }
  void Send(std::shared_ptr<const std::string> bytes) {
    stream_->Send(std::move(bytes));
  }
  void Close() { stream_->Close(); }

  [[nodiscard]] incarnation_id sender() const { return sender_; }

  // Of a follower, the newest change that it was told of or has told of itself.
  [[nodiscard]] std::optional<std::uint64_t> followed() const {
    return followed_;
  }
  void SetFollowed(std::optional<std::uint64_t> revision) {
    followed_ = revision;
  }
  [[nodiscard]] const vm_id& vm() const { return vm_; }
  [[nodiscard]] const std::string& ip() const { return ip_; }
  [[nodiscard]] bool reads_notices() const { return reads_notices_; }
  [[nodiscard]] stream_load load() const {
    stream_load load = stream_->load();
    load.unnamed = sender_ == incarnation_id{} ? 1 : 0;
    return load;
  }
  [[nodiscard]] bool reads_slowly() const {
    return stream_->load().unsent_bytes > kMostUnreadBytes;
  }

  void SendSuspects(std::shared_ptr<const std::string> frame) {
    if (!stream_->SendNews(std::move(frame))) {
      missed_suspects_ = true;
    }
  }
  // A sender that was slow to read is told what is known once it has read.
  void SendMissedSuspects() {
    if (missed_suspects_) {
      SendKnownSuspects();
    }
  }
  void SendKnownSuspects() {
    const suspects_frame known{.entries = server_.calls_.KnownSuspects()};
    missed_suspects_ =
        !known.entries.empty() &&
        !stream_->SendNews(std::make_shared<const std::string>(Encode(known)));
  }

 private:
  void OnFrame(const frame_view& frame) {
    if (!Handle(frame)) {
      LogWarning("peer_frame_refused",
                 {{.name = "kind",
                   .value = std::string(kFrameKindNames.Name(frame.kind))}});
      stream_->Close();
      server_.OnEnd(shared_from_this());
    }
  }

  // False if the frame makes no sense here.
  bool Handle(const frame_view& frame) {
    if (frame.kind == frame_kind::kHello) {
      const auto hello = DecodeHello(frame.payload);
      if (!hello) {
        return false;
      }
      sender_ = hello->sender;
      vm_ = hello->vm;
      server_.OnHello(shared_from_this(), *hello);
      return true;
    }
    if (sender_ == incarnation_id{}) {
      return false;
    }
    return HandleKnown(frame);
  }

  bool HandleKnown(const frame_view& frame) {
    switch (frame.kind) {
      case frame_kind::kCall: {
        auto call = DecodeCallFrame(frame.payload);
        const bool readable = call.has_value();
        if (readable) {
          server_.OnCall(*this, *std::move(call));
        }
        return readable;
      }
      case frame_kind::kAsk: {
        const auto number = DecodeNumber(frame.payload);
        if (number) {
          server_.OnAsk(*this, *number);
        }
        return number.has_value();
      }
      case frame_kind::kCancel: {
        const auto number = DecodeNumber(frame.payload);
        if (number) {
          server_.OnCancel(*this, *number);
        }
        return number.has_value();
      }
      case frame_kind::kPing: {
        if (const auto sent = DecodePing(frame.payload)) {
          server_.Transit(sender_, *sent);
          if (!std::exchange(returned_ping_, true)) {
            Send(EncodeReturnedPing(*sent));
          }
        }
        Send(Encode(server_.Pong()));
        return true;
      }
      case frame_kind::kSuspects: {
        const auto suspects = DecodeSuspectsFrame(frame.payload);
        if (suspects && server_.options_.on_suspects) {
          const suspects_frame reply = server_.options_.on_suspects(*suspects);
          if (!reply.empty()) {
            stream_->SendNews(
                std::make_shared<const std::string>(Encode(reply)));
          }
        }
        return suspects.has_value();
      }
      case frame_kind::kChanges: {
        auto told = DecodeChanges(frame.payload);
        if (told && server_.options_.on_changes) {
          told->from = ip_;
          server_.options_.on_changes(*told);
        }
        return told.has_value();
      }
      case frame_kind::kAskChanges: {
        const auto revision = DecodeNumber(frame.payload);
        if (revision) {
          server_.TellChanges(*this, *revision);
        }
        return revision.has_value();
      }
      case frame_kind::kUsage: {
        const auto usage = DecodeUsage(frame.payload);
        if (usage && server_.options_.on_usage) {
          Send(Encode(quota_frame{
              .number = usage->number,
              .report = server_.options_.on_usage(sender_, usage->report)}));
        }
        return usage.has_value();
      }
      case frame_kind::kRepeatReport:
        OnRepeatReport(DecodeRepeat(frame.payload));
        return true;
      case frame_kind::kAskProof: {
        const auto number = DecodeNumber(frame.payload);
        if (number) {
          server_.OnAskProof(*this, *number);
        }
        return number.has_value();
      }
      case frame_kind::kNotice: {
        const auto notice = DecodeNotice(frame.payload);
        if (notice) {
          reads_notices_ = true;
          server_.OnNotice(*this, *notice);
        }
        return notice.has_value();
      }
      case frame_kind::kFollow: {
        const auto revision = DecodeNumber(frame.payload);
        server_.OnFollow(*this, revision);
        return revision.has_value();
      }
      case frame_kind::kUnfollow:
        server_.OnFollow(*this, std::nullopt);
        return true;
      default:
        return false;
    }
  }

  void OnRepeatReport(const std::optional<repeat_frame>& report) {
    if (!server_.options_.on_repeat_report) {
      return;
    }
    const milliseconds transit =
        report ? server_.Transit(sender_, report->sent) : milliseconds(0);
    auto grant = server_.options_.on_repeat_report(sender_, report, transit);
    if (report && grant) {
      Send(Encode(repeat_frame{.number = report->number,
                               .sent = SendTime(boot_clock::now()),
                               .entries = *std::move(grant)},
                  frame_kind::kRepeatGrant));
    }
  }

  peer_server& server_;
  const std::string ip_;  // The sender's.
  std::shared_ptr<frame_stream> stream_;
  incarnation_id sender_{};                // Zero until its hello.
  vm_id vm_;                               // The sender's.
  std::optional<std::uint64_t> followed_;  // Only of a follower.
  bool missed_suspects_ = false;           // Some weren't sent.
  bool returned_ping_ = false;             // See frame_kind::kPing.
  bool reads_notices_ = false;             // See frame_kind::kNotice.
};

peer_server::peer_server(boost::asio::io_context& context,
                         peer_server_options options,
                         executor& calls)
    : options_(std::move(options)),
      calls_(calls),
      acceptor_(Listen(context, options_.address)) {
  Accept();
}

// What is pending on connections would else tell a server that is gone.
peer_server::~peer_server() {
  for (const auto& open : all_) {
    open->Close();
  }
}

void peer_server::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      SetUpConnection(socket, kPeerSilence);
      auto opened = std::make_shared<session>(*this, std::move(socket));
      all_.insert(opened);
      opened->Start();
    }
    Accept();
  });
}

endpoint peer_server::address() const {
  return LocalEndpoint(acceptor_);
}

peer_server::session* peer_server::Find(incarnation_id sender) {
  const auto found = by_sender_.find(KeyOf(sender));
  return found == by_sender_.end() ? nullptr : found->second.get();
}

// A second connection of one sender means that it doubts the first.
void peer_server::OnHello(const std::shared_ptr<session>& from,
                          const hello_frame& hello) {
  std::shared_ptr<session>& current = by_sender_[KeyOf(hello.sender)];
  if (current != nullptr && current != from) {
    current->Close();
    all_.erase(current);
  }
  current = from;
  attempts_.OnConnected(hello.sender);
  from->Send(Encode(welcome_frame{.receiver = options_.self,
                                  .leaving = calls_.leaving(),
                                  .load = calls_.Load(),
                                  .report = calls_.Report()}));
  from->SendKnownSuspects();
}

pong_frame peer_server::Pong() const {
  return {.leaving = calls_.leaving(),
          .load = calls_.Load(),
          .report = calls_.Report()};
}

void peer_server::OnEnd(const std::shared_ptr<session>& ended) {
  all_.erase(ended);
  const auto found = by_sender_.find(KeyOf(ended->sender()));
  if (found == by_sender_.end() || found->second != ended) {
    return;
  }
  attempts_.OnDisconnected(ended->sender(), monotonic_clock::now());
  by_sender_.erase(found);
  const auto of_sender = running_.find(KeyOf(ended->sender()));
  if (of_sender == running_.end()) {
    return;
  }
  // A call that is refused is removed from the map.
  const auto running = of_sender->second;
  for (const auto& [number, id] : running) {
    calls_.OnConnectionEnd(id);
  }
}

void peer_server::OnCall(session& from, call_frame call) {
  const attempt_key attempt{.sender = from.sender(), .number = call.number};
  if (call.sent > milliseconds(0)) {
    call.transit = Transit(from.sender(), call.sent);
    Elapse(call.transit, &call);
  }
  attempts_.Settle(from.sender(), call.settled_below);
  switch (attempts_.Begin(attempt)) {
    case attempt_verdict::kStart:
      ++calls_read_;
      break;
    case attempt_verdict::kRunning:
      return;
    case attempt_verdict::kFinished:
      from.Send(attempts_.AnswerOf(attempt));
      return;
    case attempt_verdict::kRefused:
      SendRefusal(from, call.number);
      return;
  }
  if (!ReserveBody(&call)) {
    RefuseForRoom(attempt);
    return;
  }
  // The executor may answer before Serve() returns.
  const auto answered = std::make_shared<bool>(false);
  const std::uint64_t id = calls_.Serve(
      std::move(call), [this, attempt, answered](const answer_frame& answer) {
        *answered = true;
        OnAnswer(attempt, answer);
      });
  if (!*answered) {
    running_[KeyOf(attempt.sender)][attempt.number] = id;
  }
}

bool peer_server::ReserveBody(call_frame* call) const {
  shared_bytes& body = call->request.body;
  if (options_.memory == nullptr || body.size() <= kMaxSmallReservation) {
    return true;
  }
  memory_reservation reservation = options_.memory->Open(memory_use::kRequests);
  if (!reservation.Resize(body.size())) {
    return false;
  }
  body = shared_bytes::Reserved(std::move(body), std::move(reservation));
  return true;
}

void peer_server::OnDropped(session& from, std::uint64_t number) {
  const attempt_key attempt{.sender = from.sender(), .number = number};
  if (attempts_.Begin(attempt) == attempt_verdict::kStart) {
    RefuseForRoom(attempt);
  }
}

void peer_server::RefuseForRoom(const attempt_key& attempt) {
  LogWarning("call_dropped",
             {{.name = "why", .value = "no room"},
              {.name = "number", .value = std::to_string(attempt.number)}});
  answer_frame answer;
  answer.number = attempt.number;
  answer.kind = outcome_kind::kNotExecuted;
  answer.why = reason::kTableFull;
  answer.retry_after = kNoRoomRetryAfter;
  answer.load = calls_.Load();
  answer.report = calls_.Report();
  OnAnswer(attempt, answer);
}

void peer_server::OnAnswer(const attempt_key& attempt,
                           const answer_frame& answer) {
  const auto of_sender = running_.find(KeyOf(attempt.sender));
  if (of_sender != running_.end()) {
    of_sender->second.erase(attempt.number);
    if (of_sender->second.empty()) {
      running_.erase(of_sender);
    }
  }
  session* const to = Find(attempt.sender);
  const auto bytes = EncodeToKeep(answer, to != nullptr && to->reads_notices());
  if (!attempts_.Finish(attempt, bytes)) {
    return;  // Its sender has given it up.
  }
  if (to != nullptr) {
    to->Send(bytes);
  }
}

// An answer is kept until its sender settles it.
std::shared_ptr<const std::string> peer_server::EncodeToKeep(
    const answer_frame& answer,
    bool reads_notices) const {
  std::string bytes = reads_notices ? Encode(answer) : EncodeForOlder(answer);
  if (options_.memory == nullptr || bytes.size() <= kMaxSmallReservation) {
    return std::make_shared<const std::string>(std::move(bytes));
  }
  memory_reservation reservation = options_.memory->Open(memory_use::kAnswers);
  if (reservation.Resize(bytes.size())) {
    return shared_bytes::Reserved(std::move(bytes), std::move(reservation))
        .shared();
  }
  LogWarning("answer_dropped",
             {{.name = "why", .value = "no room"},
              {.name = "bytes", .value = std::to_string(bytes.size())},
              {.name = "number", .value = std::to_string(answer.number)}});
  answer_frame without = answer;
  without.kind = outcome_kind::kUnknown;
  without.why = reason::kTableFull;
  without.response = {};
  return std::make_shared<const std::string>(Encode(without));
}

milliseconds peer_server::Transit(incarnation_id sender, milliseconds sent) {
  return transit_[KeyOf(sender)].OnMessage(sent, boot_clock::now());
}

void peer_server::SendRefusal(session& to, std::uint64_t number) {
  answer_frame answer;
  answer.number = number;
  answer.kind = outcome_kind::kNotExecuted;
  answer.why = reason::kConnectionLost;
  answer.load = calls_.Load();
  answer.report = calls_.Report();
  to.Send(Encode(answer));
}

void peer_server::OnAsk(session& from, std::uint64_t number) {
  const attempt_key attempt{.sender = from.sender(), .number = number};
  const attempt_verdict verdict = attempts_.Query(attempt);
  LogEvent("attempt_asked_for",
           {{.name = "number", .value = std::to_string(number)},
            {.name = "verdict",
             .value = std::string(kAttemptVerdictNames.Name(verdict))}});
  switch (verdict) {
    case attempt_verdict::kStart:
    case attempt_verdict::kRefused:
      SendRefusal(from, number);
      return;
    case attempt_verdict::kFinished:
      from.Send(attempts_.AnswerOf(attempt));
      return;
    case attempt_verdict::kRunning:
      from.Send(Encode(Pong()));
      return;
  }
}

void peer_server::OnCancel(const session& from, std::uint64_t number) {
  const auto of_sender = running_.find(KeyOf(from.sender()));
  if (of_sender == running_.end()) {
    return;
  }
  const auto found = of_sender->second.find(number);
  if (found != of_sender->second.end()) {
    calls_.Cancel(found->second);
  }
}

void peer_server::Drain() {
  for (const auto& [sender, to] : by_sender_) {
    to->Send(EncodeEmpty(frame_kind::kLeaving));
  }
}

void peer_server::SendSuspects(const std::shared_ptr<const std::string>& frame,
                               const std::set<incarnation_id>& to) {
  for (const incarnation_id sender : to) {
    if (session* const open = Find(sender)) {
      open->SendSuspects(frame);
    }
  }
}

std::set<incarnation_id> peer_server::senders() const {
  std::set<incarnation_id> senders;
  for (const auto& [sender, open] : by_sender_) {
    senders.insert(incarnation_id{sender});
  }
  return senders;
}

void peer_server::AskForChanges(std::uint64_t revision) {
  const auto question = std::make_shared<const std::string>(
      EncodeNumbered(frame_kind::kAskChanges, revision));
  const std::size_t count = std::min(kAskedAtOnce, by_sender_.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto next = by_sender_.upper_bound(last_asked_);
    if (next == by_sender_.end()) {
      next = by_sender_.begin();
    }
    last_asked_ = next->first;
    next->second->Send(question);
  }
}

// False if there is nothing to tell, or the receiver can't take it now.
bool peer_server::TellChanges(session& to, std::uint64_t revision) {
  if (to.reads_slowly()) {
    ++counters_.put_off;
    return false;
  }
  auto changes =
      options_.changes_since ? options_.changes_since(revision) : nullptr;
  if (changes == nullptr) {
    return false;
  }
  ++counters_.told;
  to.Send(std::move(changes));
  return true;
}

void peer_server::OnAskProof(session& from, std::uint64_t number) {
  const auto proof = options_.proof ? options_.proof() : std::nullopt;
  from.Send(Encode(proof_frame{.number = number,
                               .proof = proof.value_or(freshness_proof())}));
}

void peer_server::OnNotice(session& from, const known_notice& notice) {
  if (notice.says_anything()) {
    calls_.ImportNotice(notice, from.ip());
  }
  const known_notice own = calls_.Notice();
  if (own.says_anything()) {
    from.Send(Encode(own));
  }
}

void peer_server::PublishNotice() {
  std::shared_ptr<const std::string> notice;
  for (const auto& [sender, to] : by_sender_) {
    if (!to->reads_notices()) {
      continue;
    }
    if (notice == nullptr) {
      notice = std::make_shared<const std::string>(Encode(calls_.Notice()));
    }
    to->Send(notice);
  }
}

void peer_server::OnFollow(session& from,
                           std::optional<std::uint64_t> revision) {
  from.SetFollowed(revision);
  LogEvent("follower", {{.name = "vm", .value = from.vm()},
                        {.name = "follows", .value = revision ? "yes" : "no"},
                        {.name = "revision",
                         .value = std::to_string(revision.value_or(0))}});
  if (revision) {
    from.Send(Encode(Pong()));
    TellFollowers({});
  }
}

void peer_server::TellFollowers(const std::string& except) {
  const std::uint64_t revision = options_.revision ? options_.revision() : 0;
  for (const auto& [sender, to] : by_sender_) {
    if (!to->followed() || *to->followed() >= revision) {
      continue;
    }
    if (to->ip() == except || TellChanges(*to, *to->followed())) {
      to->SetFollowed(revision);
    }
  }
}

void peer_server::Heartbeat() {
  std::shared_ptr<const std::string> pong;
  for (const auto& [sender, to] : by_sender_) {
    if (!to->followed() || to->reads_slowly()) {
      continue;
    }
    if (pong == nullptr) {
      pong = std::make_shared<const std::string>(
          Encode(Pong(), frame_kind::kHeartbeat));
    }
    to->Send(pong);
  }
  // Those that could not be told before.
  TellFollowers({});
}

std::size_t peer_server::followers() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      by_sender_,
      [](const auto& entry) { return entry.second->followed().has_value(); }));
}

stream_load peer_server::load() const {
  stream_load sum;
  for (const auto& open : all_) {
    sum.Add(open->load());
  }
  return sum;
}

void peer_server::Tick(time_point now) {
  attempts_.Expire(now);
  std::erase_if(transit_, [this, at = boot_clock::now()](const auto& entry) {
    return !by_sender_.contains(entry.first) &&
           at - entry.second.last_message() > attempt_table::kRetention;
  });
  for (const auto& [sender, to] : by_sender_) {
    to->SendMissedSuspects();
  }
}

}  // namespace pistachioweir
