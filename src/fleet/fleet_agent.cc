// The agent's I/O around the protocol's pure parts. All state but the published
// view and the counters belongs to one strand.
#include "include/fleet/fleet_agent.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <random>
#include <set>

#include "include/config/manifest_parser.h"
#include "include/fleet/manifest_store.h"
#include "include/fleet/membership.h"
#include "include/fleet/reader_schedule.h"
#include "src/fleet/platform_client.h"
#include "src/fleet/platform_documents.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kTick{50};

}  // namespace

class fleet_agent::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context& io, fleet_agent_options options)
      : options_(std::move(options)),
        strand_(boost::asio::make_strand(io)),
        timer_(strand_),
        platform_(io, options_.settings.platform),
        random_(static_cast<std::uint64_t>(options_.incarnation)),
        manifests_(options_.settings.service),
        schedule_(1, monotonic_clock::now(), random_),
        view_(std::make_shared<const fleet_view>()) {}

  void Start() {
    Post([](impl& self) { self.Tick(); });
  }

  void Stop() {
    Post([](impl& self) {
      self.stopped_ = true;
      self.timer_.cancel();
    });
  }

  // Runs `work` on the strand, unless the agent has stopped.
  template <typename Work>
  void Post(Work work) {
    boost::asio::post(
        strand_, [self = shared_from_this(), work = std::move(work)]() mutable {
          if (!self->stopped_) {
            work(*self);
          }
        });
  }

  [[nodiscard]] std::shared_ptr<const fleet_view> View() const {
    const std::lock_guard lock(mutex_);
    return view_;
  }

  [[nodiscard]] fleet_counters Counters() const {
    const std::lock_guard lock(mutex_);
    return counters_;
  }

  membership& members() { return members_; }

  // Tells of a change that a call or a list showed.
  void Report(const std::optional<member_change>& change) {
    if (!change) {
      return;
    }
    Emit({.name = "member_state",
          .subject = change->vm,
          .detail = "service=" + change->service + " state=" +
                    std::string(kMemberStateNames.Name(change->state))});
    Publish();
  }

  void Leave() {
    own_state_ = member_state::kLeaving;
    Publish();
  }

 private:
  void Tick() {
    const time_point now = monotonic_clock::now();
    const reader_situation situation = Situation(now);
    for (const scheduled_read& read : schedule_.Due(situation, now, random_)) {
      StartRead(read);
    }
    ReadMissingDocuments();
    timer_.expires_after(kTick);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped_) {
            self->Tick();
          }
        });
  }

  [[nodiscard]] reader_situation Situation(time_point now) const {
    const std::uint64_t own =
        members_.Targets(options_.settings.service, now).size();
    return {
        .own_service = options_.settings.service,
        .lists = manifests_.direct(),
        .fleet_size = std::max<std::uint64_t>(own, 1) *
                      std::max<std::uint64_t>(manifests_.service_count(), 1),
        .service_size = std::max<std::uint64_t>(own, 1)};
  }

  void StartRead(const scheduled_read& read) {
    Count(&fleet_counters::platform_reads);
    platform_.Read(
        {.key = read.key, .after = read.after, .wait = read.wait}, random_(),
        [self = shared_from_this(), key = read.key](platform_read result) {
          self->Post([key, result = std::move(result)](impl& agent) {
            agent.OnRead(key, result);
          });
        });
  }

  void OnRead(const std::string& key, const platform_read& result) {
    const time_point now = monotonic_clock::now();
    const bool failed = result.status == read_status::kFailed;
    if (failed) {
      Count(&fleet_counters::platform_failures);
    }
    if (result.status == read_status::kFound) {
      if (key == "index") {
        OnIndex(result.body);
      } else if (key.starts_with("live/")) {
        OnLiveList(key.substr(5), result, now);
      }
    }
    schedule_.Done(key, failed, result.revision, Situation(now), now, random_);
  }

  void OnIndex(const std::string& body) {
    const auto versions = ParseIndex(body);
    if (!versions) {
      return;
    }
    for (const manifest_version& version : *versions) {
      manifests_.NoteVersion(version);
    }
  }

  void OnLiveList(const std::string& service,
                  const platform_read& result,
                  time_point now) {
    const auto list = ParseLiveList(result.body);
    if (!list) {
      return;
    }
    for (const member_change& change :
         members_.ApplyList(service, result.revision, *list, now)) {
      Report(change);
    }
  }

  void ReadMissingDocuments() {
    for (const manifest_version& missing : manifests_.Missing()) {
      if (missing.version == 0 || !reading_.insert(missing.service).second) {
        continue;
      }
      Count(&fleet_counters::platform_reads);
      platform_.Read({.key = "manifest/" + missing.service}, random_(),
                     [self = shared_from_this(),
                      service = missing.service](const platform_read& result) {
                       self->Post([service, result](impl& agent) {
                         agent.OnManifest(service, result);
                       });
                     });
    }
  }

  void OnManifest(const std::string& service, const platform_read& result) {
    reading_.erase(service);
    if (result.status != read_status::kFound) {
      Count(&fleet_counters::platform_failures);
      return;
    }
    AcceptDocument(service, result.body);
  }

  bool AcceptDocument(const std::string& service, const std::string& text) {
    auto parsed = ParseManifest(text, "manifest/" + service);
    if (!parsed.ok() || parsed.value.service != service) {
      return false;
    }
    const std::uint64_t version = parsed.value.version;
    switch (manifests_.Accept(std::move(parsed.value), text)) {
      case manifest_verdict::kAccepted:
        Count(&fleet_counters::manifests_accepted);
        Emit({.name = "manifest_accepted",
              .subject = service,
              .detail = "version=" + std::to_string(version)});
        members_.KeepServices(manifests_.direct());
        Publish();
        return true;
      case manifest_verdict::kOlder:
        Count(&fleet_counters::manifests_older);
        return false;
      case manifest_verdict::kUnwanted:
        return false;
    }
    return false;
  }

  void Publish() {
    const time_point now = monotonic_clock::now();
    auto view = std::make_shared<fleet_view>();
    view->own_state = own_state_;
    for (const std::string& service : manifests_.wanted()) {
      fleet_service entry = {.service = service,
                             .targets = members_.Targets(service, now)};
      if (const auto document = manifests_.Find(service)) {
        entry.manifest = document->manifest;
      }
      view->services.push_back(std::move(entry));
    }
    view->ready = manifests_.VersionInForce(options_.settings.service) != 0;
    {
      const std::lock_guard lock(mutex_);
      view_ = view;
    }
    if (options_.on_change) {
      options_.on_change(view);
    }
  }

  void Emit(const fleet_event& event) {
    if (options_.on_event) {
      options_.on_event(event);
    }
  }

  void Count(std::uint64_t fleet_counters::*counter) {
    const std::lock_guard lock(mutex_);
    ++(counters_.*counter);
  }

  const fleet_agent_options options_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer timer_;
  platform_client platform_;

  // Of the strand.
  bool stopped_ = false;
  std::mt19937_64 random_;
  manifest_store manifests_;
  membership members_;
  reader_schedule schedule_;
  std::set<std::string> reading_;
  member_state own_state_ = member_state::kLive;

  mutable std::mutex mutex_;
  std::shared_ptr<const fleet_view> view_;  // Under mutex_; never null.
  fleet_counters counters_;                 // Under mutex_.
};

fleet_agent::fleet_agent(boost::asio::io_context& io,
                         fleet_agent_options options)
    : impl_(std::make_shared<impl>(io, std::move(options))) {}

fleet_agent::~fleet_agent() {
  impl_->Stop();
}

void fleet_agent::Start() {
  impl_->Start();
}

void fleet_agent::Stop() {
  impl_->Stop();
}

std::shared_ptr<const fleet_view> fleet_agent::View() const {
  return impl_->View();
}

fleet_counters fleet_agent::Counters() const {
  return impl_->Counters();
}

void fleet_agent::NoteCallAnswered(const vm_id& vm,
                                   incarnation_id incarnation) {
  impl_->Post([vm, incarnation](impl& agent) {
    agent.Report(
        agent.members().NoteAnswered(vm, incarnation, monotonic_clock::now()));
  });
}

void fleet_agent::NoteCallFailed(const vm_id& vm, incarnation_id incarnation) {
  impl_->Post([vm, incarnation](impl& agent) {
    agent.Report(
        agent.members().NoteFailed(vm, incarnation, monotonic_clock::now()));
  });
}

void fleet_agent::NoteLeaving(const vm_id& vm, incarnation_id incarnation) {
  impl_->Post([vm, incarnation](impl& agent) {
    agent.Report(
        agent.members().NoteLeaving(vm, incarnation, monotonic_clock::now()));
  });
}

void fleet_agent::Leave() {
  impl_->Post([](impl& agent) { agent.Leave(); });
}

bool fleet_agent::PublishBlob(const std::string& id,
                              const std::string& bytes,
                              milliseconds lifetime) {
  return !id.empty() && !bytes.empty() && lifetime.count() > 0 && false;
}

std::string fleet_agent::HandleRpc(std::string_view json) {
  (void)json;
  return {};
}

}  // namespace pistachioweir
