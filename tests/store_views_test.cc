// A daemon's view and the store that it comes from, over real connections to a
// store whose every answer the test gives.
#include "platform/store_views.h"

#include <gtest/gtest.h>
#include <json/value.h>
#include <json/writer.h>
#include <openssl/evp.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "include/forward/service_view.h"
#include "tests/support/fake_http_target.h"
#include "tests/support/run_until.h"

namespace pistachioweir::platform {
namespace {

// Longer than any test waits, so that what comes before its end has been asked
// for early.
constexpr milliseconds kEndlessPause = std::chrono::hours(1);

constexpr std::string_view kConfig =
    R"({"version":"r1","routes":{"columns":["name","host","prefix","kind",
"timeout","target-latency","priority","service","max-attempts"],"rows":[["look",
"a.example","/look/","safe","1s","500ms",1,"registry",2]]},"services":{"columns":
["name","max-connections"],"rows":[["registry",100]]},"limits":{
"max-header-bytes":8192,"max-body-bytes":1000000,"header-timeout":"3s",
"idle-timeout":"15s"}})";

std::string TargetEntry(const std::string& address) {
  return R"({"address":")" + address +
         R"(","info":{"service":"registry","version":"v1","zone":"waw-a",
"slots":8},"status":{"state":"ready","sequence":1,"warmup-left":"0ms"}})";
}

std::string Base64(std::string_view text) {
  std::string encoded(4 * ((text.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  encoded.resize(static_cast<std::size_t>(length));
  return encoded;
}

Json::Value Item(const std::string& key,
                 std::string_view value,
                 unsigned revision) {
  Json::Value item;
  item["key"] = key;
  item["value"] = Base64(value);
  item["revision"] = revision;
  item["created"] = revision;
  return item;
}

// The store: its configuration is there from the start, targets come as events
// of the watches that the test answers.
class store_views_test : public testing::Test {
 protected:
  store_views_test()
      : views_(context_,
               Settings(),
               {.store_calls_per_second = 1,
                .readers = reader_policy::kAll,
                .max_pause = kEndlessPause,
                .min_pause = kEndlessPause},
               [this](std::shared_ptr<const service_view> view) {
                 view_ = std::move(view);
               }) {
    store_.on_request = [this](const read_request& request,
                               const fake_http_target::connection_ptr& from) {
      OnRequest(request, from);
    };
  }

  ~store_views_test() override { views_.Stop(); }

  forward_settings Settings() {
    settings_.platform = {store_.address()};
    return settings_;
  }

  void OnRequest(const read_request& request,
                 const fake_http_target::connection_ptr& from) {
    if (request.target.find("kv-watch") != std::string::npos) {
      ++watches_;
      watch_ = request;
      watcher_ = from;
      return;
    }
    Json::Value answer;
    answer["items"].append(Item("op/config", kConfig, 1));
    answer["items"].append(Item("servers/i-0", TargetEntry("10.0.0.9:1"), 1));
    answer["has-more"] = false;
    answer["store-revision"] = newest_;
    from->Send(fake_http_target::Answer(request, Text(answer)));
  }

  // The waiting watch hears that a target registered.
  void Register(const std::string& id, unsigned revision) {
    Json::Value answer;
    answer["events"].append(
        Item("servers/" + id, TargetEntry("10.0.0.1:8301"), revision));
    answer["store-revision"] = revision;
    watcher_->Send(fake_http_target::Answer(watch_, Text(answer)));
  }

  static std::string Text(const Json::Value& value) {
    return Json::writeString(Json::StreamWriterBuilder(), value);
  }

  bool Lists(const std::string& id) const {
    return view_ != nullptr &&
           std::ranges::any_of(view_->targets, [&](const target_entry& each) {
             return each.id == id;
           });
  }

  ::testing::AssertionResult RunUntil(const std::function<bool()>& done) {
    return pistachioweir::RunUntil(context_, done);
  }

  void RunFor(milliseconds time) {
    const time_point end = monotonic_clock::now() + time;
    RunUntil([&] { return monotonic_clock::now() >= end; });
  }

  boost::asio::io_context context_;
  fake_http_target store_{context_};
  forward_settings settings_;
  std::shared_ptr<const service_view> view_;
  int watches_ = 0;
  unsigned newest_ = 1;  // The store's revision.
  read_request watch_;   // The one that waits.
  fake_http_target::connection_ptr watcher_;
  store_views views_;
};

TEST_F(store_views_test, ReadsAndWatches) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  EXPECT_EQ(views_.state().revision, 1U);
  Register("i-1", 2);
  ASSERT_TRUE(RunUntil([&] { return Lists("i-1"); }));
  EXPECT_EQ(views_.state().revision, 2U);
}

// All machines lost power, and every target is a new one. This daemon read the
// store while some of the old entries were still there, has just heard of a
// change and waits before it asks for the next ones. Old targets are known to
// be gone from their successors' answers, so that no target was left to call
// for 0.6 s, though all had registered (log: answer why=wrong_target, then
// not_placed why=no_target usable=0).
TEST_F(store_views_test, AStaleTargetEndsThePauseBetweenWatches) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  Register("i-1", 2);
  ASSERT_TRUE(RunUntil([&] { return Lists("i-1"); }));
  EXPECT_EQ(watches_, 1);
  views_.NoteStaleTarget();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 2; }));
  Register("i-2", 3);
  ASSERT_TRUE(RunUntil([&] { return Lists("i-2"); }));
}

// Each early end is a call that the pause was to save, and while many targets
// are gone many answers tell so.
TEST_F(store_views_test, ManyStaleTargetsEndOnePauseOnly) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  Register("i-1", 2);
  ASSERT_TRUE(RunUntil([&] { return Lists("i-1"); }));
  views_.NoteStaleTarget();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 2; }));
  Register("i-2", 3);
  ASSERT_TRUE(RunUntil([&] { return Lists("i-2"); }));
  views_.NoteStaleTarget();
  context_.restart();
  context_.run_for(milliseconds(20));
  EXPECT_EQ(watches_, 2);
}

// A target that is gone while the watch waits for news is no reason to ask
// again: the news will come.
TEST_F(store_views_test, AWaitingWatchIsLeftAlone) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  views_.NoteStaleTarget();
  context_.restart();
  context_.run_for(milliseconds(20));
  EXPECT_EQ(watches_, 1);
}

// Changes come one after the other, and the answer to this daemon's watch was
// lost. Its neighbours tell of each change. Each time the patience with the
// watch began anew, so that until the end of the series, or of the watch, the
// daemon handled requests by a configuration that had been replaced (lines:
// config_taken of all others, and none of this one).
TEST_F(store_views_test, ALostAnswerShowsWhileChangesGoOn) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  for (std::uint64_t revision = 2; revision < 8; ++revision) {
    views_.NoteRevision(revision);
    RunFor(milliseconds(100));
  }
  EXPECT_GE(watches_, 2);
}

// As above, but the store tells watches nothing for a while, so that the answer
// to the second one is lost as well. One doubt for each piece of news left the
// daemon to wait for the end of that watch.
TEST_F(store_views_test, ASecondLostAnswerShowsToo) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  views_.NoteRevision(2);
  ASSERT_TRUE(RunUntil([&] { return watches_ == 2; }));
  ASSERT_TRUE(RunUntil([&] { return watches_ == 3; }));
  Register("i-1", 2);
  ASSERT_TRUE(RunUntil([&] { return Lists("i-1"); }));
}

// As above, and the store has forgotten its history by the time that the daemon
// asks again: everything is read anew, and the newest is in force.
TEST_F(store_views_test, ALostAnswerBeforeTheHistoryIsGone) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  views_.NoteRevision(2);
  ASSERT_TRUE(RunUntil([&] { return watches_ == 2; }));
  newest_ = 2;
  constexpr int kGone = 410;
  watcher_->Send(fake_http_target::Answer(watch_, "{}", kGone));
  ASSERT_TRUE(RunUntil([&] { return views_.state().revision == 2; }));
}

// A daemon whose store is read by others.
class shared_store_views_test : public store_views_test {
 protected:
  shared_store_views_test()
      : following_(context_,
                   Settings(),
                   {.store_calls_per_second = 1},
                   [this](std::shared_ptr<const service_view> view) {
                     view_ = std::move(view);
                   }) {}
  ~shared_store_views_test() override { following_.Stop(); }

  static view_changes Told(std::uint64_t after,
                           std::uint64_t revision,
                           const std::string& id) {
    return {.after = after,
            .revision = revision,
            .entries = {{.key = "servers/" + id,
                         .value = TargetEntry("10.0.0.1:8301"),
                         .created = revision,
                         .revision = revision}}};
  }

  store_views following_;
};

// One call at the start, and none for changes: those are told.
TEST_F(shared_store_views_test, AFollowerMakesNoCalls) {
  following_.Start();
  ASSERT_TRUE(RunUntil([&] { return following_.state().revision == 1; }));
  EXPECT_EQ(following_.Apply(Told(1, 2, "i-1")), changes_verdict::kTaken);
  EXPECT_TRUE(Lists("i-1"));
  RunFor(milliseconds(50));
  EXPECT_EQ(following_.calls(), 1U);
  EXPECT_FALSE(following_.state().last_read_ok);
}

// A piece that was told before this one was lost on its way. Taken, it would
// leave the daemon without a change that it believes to have.
TEST_F(shared_store_views_test, ToldChangesBehindAGapAreLeft) {
  following_.Start();
  ASSERT_TRUE(RunUntil([&] { return following_.state().revision == 1; }));
  EXPECT_EQ(following_.Apply(Told(2, 3, "i-1")), changes_verdict::kGap);
  EXPECT_EQ(following_.state().revision, 1U);
  EXPECT_EQ(following_.Apply(Told(0, 1, "i-1")), changes_verdict::kNotNewer);
}

// The store accepts the daemon's question and loses the answer. A neighbour
// tells its view meanwhile: turned down, since the store was being read, the
// daemon refused its callers until the next try (soak seed 9103; line:
// told_view verdict=store_answering).
TEST_F(shared_store_views_test, AToldViewIsTakenWhileTheStoreIsRead) {
  store_.on_request = [](const read_request&,
                         const fake_http_target::connection_ptr&) {};
  following_.Start();
  ASSERT_TRUE(RunUntil([&] { return !store_.requests.empty(); }));
  view_changes told = Told(0, 40, "i-1");
  told.entries.push_back({.key = "op/config",
                          .value = std::string(kConfig),
                          .created = 1,
                          .revision = 30});
  EXPECT_EQ(following_.Apply(told), changes_verdict::kTaken);
  EXPECT_TRUE(Lists("i-1"));
}

// Others stop telling, and the daemon reads again from where it is.
TEST_F(shared_store_views_test, AFollowerThatReadsGoesOnFromWhatItWasTold) {
  following_.Start();
  ASSERT_TRUE(RunUntil([&] { return following_.state().revision == 1; }));
  following_.Apply(Told(1, 2, "i-1"));
  following_.SetReading(store_reading::kEager);
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  EXPECT_NE(watch_.target.find("after=2"), std::string::npos);
  EXPECT_TRUE(following_.state().last_read_ok);
}

// The readers of a data centre are gone, and this daemon begins to read in
// their place, but the store doesn't answer it. If it said to its followers
// that it reads, they would rely on a view that nobody keeps up to date for as
// long as a watch may wait.
TEST_F(shared_store_views_test, WhoeverBeginsToReadHasToBeAnsweredFirst) {
  following_.Start();
  ASSERT_TRUE(RunUntil([&] { return following_.state().revision == 1; }));
  RunFor(milliseconds(750));
  following_.SetReading(store_reading::kEager);
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  EXPECT_FALSE(following_.state().last_read_ok);
  EXPECT_TRUE(watch_.target.ends_with("wait-ms=1"));
  Register("i-1", 2);
  ASSERT_TRUE(RunUntil([&] { return following_.state().last_read_ok; }));
}

// The VM is cut off from the store alone: its target can't renew its entry, and
// others drop a target that they reach, unless its daemon can say so. It makes
// no calls, so that it has to notice by its idle connection.
TEST_F(shared_store_views_test, AFollowerNoticesThatItIsCutOffFromTheStore) {
  following_.Start();
  ASSERT_TRUE(RunUntil([&] { return following_.state().revision == 1; }));
  EXPECT_FALSE(following_.state().lost_since.has_value());
  store_.Crash();
  ASSERT_TRUE(
      RunUntil([&] { return following_.state().lost_since.has_value(); }));
  // And that is no reason to doubt what it is told.
  EXPECT_EQ(following_.Apply(Told(1, 2, "i-1")), changes_verdict::kTaken);
}

// What a server understands of a query: the fragment is cut off, parameters end
// at an ampersand, and bytes are decoded as in forms.
std::string Parameter(std::string_view target, std::string_view name) {
  target = target.substr(0, target.find('#'));
  std::string_view query = target.substr(target.find('?') + 1);
  std::string_view found;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    if (pair.substr(0, pair.find('=')) == name) {
      found = pair.substr(std::min(pair.find('=') + 1, pair.size()));
    }
  }
  std::string decoded;
  for (std::size_t i = 0; i < found.size(); ++i) {
    if (found[i] == '%' && i + 2 < found.size()) {
      const std::string digits(found.substr(i + 1, 2));
      decoded.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(found[i] == '+' ? ' ' : found[i]);
    }
  }
  return decoded;
}

// A store that gives its entries in pages of two.
class paged_store_views_test : public store_views_test {
 protected:
  paged_store_views_test() {
    Put("op/config", kConfig);
    store_.on_request = [this](const read_request& request,
                               const fake_http_target::connection_ptr& from) {
      if (request.target.find("kv-watch") != std::string::npos) {
        OnRequest(request, from);
        return;
      }
      reads_.push_back(Parameter(request.target, "after"));
      from->Send(fake_http_target::Answer(request, Text(Page(request))));
    };
  }

  void Put(const std::string& key, std::string_view value) {
    items_[key] = Item(key, value, 1);
  }

  Json::Value Page(const read_request& request) const {
    const std::string prefix = Parameter(request.target, "prefix");
    Json::Value answer;
    answer["items"] = Json::arrayValue;
    answer["has-more"] = false;
    answer["store-revision"] = 1;
    for (auto at = items_.upper_bound(Parameter(request.target, "after"));
         at != items_.end(); ++at) {
      if (!at->first.starts_with(prefix)) {
        continue;
      }
      if (answer["items"].size() == kPageItems) {
        answer["has-more"] = true;
        break;
      }
      answer["items"].append(at->second);
    }
    return answer;
  }

  static constexpr Json::ArrayIndex kPageItems = 2;

  std::map<std::string, Json::Value> items_;
  std::vector<std::string> reads_;  // The key that each page begins behind.
};

// Guards against a name in the store that changes the call for the next page:
// the page came again without end, and no target was known.
TEST_F(paged_store_views_test, ANameThatHasAMeaningInACallEndsAPage) {
  for (const std::string name :
       {"&after=", "&prefix=q", "#", "a#b", "a+b", "a%41", "%", "a b", "a\nb",
        "a\r\nb", "a\x7f", "a\xc3\xa9", "?", "a=b", "a/b"}) {
    items_.clear();
    reads_.clear();
    Put("op/config", kConfig);
    Put("servers/" + name, "{}");
    Put("servers/i-1", TargetEntry("10.0.0.1:8301"));
    view_ = nullptr;
    store_views views(context_, Settings(),
                      {.store_calls_per_second = 1,
                       .readers = reader_policy::kAll,
                       .max_pause = kEndlessPause,
                       .min_pause = kEndlessPause},
                      [this](std::shared_ptr<const service_view> view) {
                        view_ = std::move(view);
                      });
    views.Start();
    EXPECT_TRUE(RunUntil([&] { return Lists("i-1") || reads_.size() > 4; }));
    EXPECT_TRUE(Lists("i-1")) << name;
    EXPECT_EQ(reads_,
              std::vector<std::string>({"", "servers/" + std::string(name)}));
    views.Stop();
  }
}

// Guards against pages that don't advance: they were gathered without end.
TEST_F(paged_store_views_test, APageThatDoesNotAdvanceEndsTheRead) {
  Put("servers/i-1", TargetEntry("10.0.0.1:8301"));
  Put("servers/i-2", TargetEntry("10.0.0.2:8301"));
  store_.on_request = [this](const read_request& request,
                             const fake_http_target::connection_ptr& from) {
    reads_.push_back(Parameter(request.target, "after"));
    Json::Value first;
    first["items"].append(items_.begin()->second);
    first["items"].append(std::next(items_.begin())->second);
    first["has-more"] = true;
    first["store-revision"] = 1;
    from->Send(fake_http_target::Answer(request, Text(first)));
  };
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return reads_.size() == 3; }));
  EXPECT_EQ(reads_, std::vector<std::string>({"", "servers/i-1", ""}));
  EXPECT_EQ(views_.state().revision, 0U);
}

// Guards against an entry of another writer that is called as a target, or
// takes the place of the target at its address.
TEST_F(paged_store_views_test, ANameThatIsNoIdNamesNoTarget) {
  Put("servers/i-1", TargetEntry("10.0.0.1:8301"));
  for (const std::string name : {"", "a b", "a&b", "a+b", "a#b", "a%b", "a\nb",
                                 "a\r\nHost: x", "a/b", "a\x7f", "a\xc3\xa9"}) {
    items_["servers/" + name] =
        Item("servers/" + name, TargetEntry("10.0.0.1:8301"), 5);
  }
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return view_ != nullptr; }));
  EXPECT_TRUE(Lists("i-1"));
  EXPECT_EQ(view_->targets.size(), 1U);
}

// Guards against a watch whose answers bring the same changes without end.
TEST_F(store_views_test, AWatchThatDoesNotAdvanceHasFailed) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  Register("i-1", 2);
  ASSERT_TRUE(RunUntil([&] { return Lists("i-1"); }));
  views_.NoteStaleTarget();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 2; }));
  Register("i-2", 2);
  ASSERT_TRUE(RunUntil([&] { return watches_ == 3; }));
  EXPECT_FALSE(Lists("i-2"));
  EXPECT_TRUE(views_.state().lost_since.has_value());
}

// Guards against a store's revision that goes back and is taken for news.
TEST_F(store_views_test, AWatchThatGoesBackHasFailed) {
  views_.Start();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 1; }));
  Register("i-1", 5);
  ASSERT_TRUE(RunUntil([&] { return Lists("i-1"); }));
  views_.NoteStaleTarget();
  ASSERT_TRUE(RunUntil([&] { return watches_ == 2; }));
  watcher_->Send(
      fake_http_target::Answer(watch_, R"({"events":[],"store-revision":3})"));
  ASSERT_TRUE(RunUntil([&] { return watches_ == 3; }));
  EXPECT_TRUE(views_.state().lost_since.has_value());
}

}  // namespace
}  // namespace pistachioweir::platform
