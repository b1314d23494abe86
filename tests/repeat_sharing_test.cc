// Reports and grants of repeats between daemons, over real sockets, and the
// choice of the report that a grant answers.
#include "src/forward/repeat_sharing.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/call_log.h"
#include "src/forward/executor.h"
#include "src/forward/origin.h"
#include "src/net/tcp_listener.h"
#include "src/peer/peer_server.h"
#include "tests/support/run_until.h"

namespace pistachioweir {
namespace {

const std::string kParentIp = "127.0.0.9";
constexpr std::string_view kService = "kyc";

// A daemon that reports to another one.
class repeat_sharing_test : public testing::Test {
 protected:
  repeat_sharing_test()
      : port_(
            LocalEndpoint(Listen(context_, {.ip = kParentIp, .port = 0})).port),
        executor_(
            context_,
            [](const target_run&, const std::function<void(run_result)>&) {
              return [] {};
            },
            log_),
        child_(context_,
               {.vm = "vm-1",
                .service = "registry",
                .peer_port = port_,
                .self = incarnation_id{7},
                .on_peer_connected =
                    [this](const std::string&) { ++connections_; },
                .on_repeat_grant =
                    [this](const std::string&,
                           const std::optional<repeat_frame>& grant) {
                      ++answers_;
                      grant_ = grant;
                    }},
               executor_,
               log_) {}

  // The parent's side.
  void Listens() {
    server_ = std::make_unique<peer_server>(
        context_,
        peer_server_options{
            .address = {.ip = kParentIp, .port = port_},
            .self = incarnation_id{9},
            .on_repeat_report =
                [this](incarnation_id sender,
                       const std::optional<repeat_frame>& report,
                       milliseconds transit) {
                  return parent_.OnReport(sender, report, transit);
                }},
        executor_);
  }

  // Returns false if the parent can't read the report now.
  [[nodiscard]] bool Send(const repeat_frame& report) {
    if (!child_.ReadsRepeatReports(kParentIp)) {
      return false;
    }
    child_.SendRepeatReport(kParentIp, report);
    return true;
  }

  boost::asio::io_context context_;
  const std::uint16_t port_;
  call_log log_{{}};
  executor executor_;
  origin child_;
  ranked_repeat_budget budget_{{.ratio = 0, .reserve = 100}};
  repeat_sharing parent_{context_,
                         {.self = {.ip = kParentIp}, .enabled = true},
                         {.budgets = [this] {
                           return std::vector<own_repeat_budget>{
                               {.service = kService, .budget = &budget_}};
                         }}};
  std::unique_ptr<peer_server> server_;
  int connections_ = 0;
  int answers_ = 0;
  std::optional<repeat_frame> grant_;
};

// Guards against a report to an older build, which ends the connection at a
// frame that it doesn't know: it is sent only once the peer has told that it
// reads such reports.
TEST_F(repeat_sharing_test, AReportIsSentOnlyToAPeerThatReadsIt) {
  EXPECT_FALSE(Send({.number = 1}));
  Listens();
  EXPECT_TRUE(RunUntil(context_, [&] { return Send({.number = 2}); }));
  EXPECT_TRUE(RunUntil(context_, [&] { return answers_ > 0; }));
  ASSERT_TRUE(grant_);
  EXPECT_EQ(grant_->number, 2U);
  EXPECT_EQ(connections_, 1);
}

TEST_F(repeat_sharing_test, TheDemandOfAChildReachesItsParent) {
  Listens();
  const repeat_frame report{
      .number = 3,
      .sent = SendTime(boot_clock::now()),
      .entries = {{.service = std::string(kService),
                   .tokens = {{.count = 5, .valid_for = milliseconds(1500)}},
                   .unmet = {2, 0, 0, 0}}}};
  EXPECT_TRUE(RunUntil(context_, [&] { return Send(report); }));
  EXPECT_TRUE(RunUntil(context_, [&] { return answers_ > 0; }));
  ASSERT_TRUE(grant_);
  // Two of its own five: all that it wants.
  ASSERT_EQ(grant_->entries.size(), 1U);
  ASSERT_EQ(grant_->entries[0].tokens.size(), 1U);
  EXPECT_EQ(grant_->entries[0].tokens[0].count, 2U);
}

// Guards against a malformed frame that is taken in part, or goes unnoticed.
TEST_F(repeat_sharing_test, AFrameThatCannotBeReadIsOnlyCounted) {
  EXPECT_FALSE(parent_.OnReport(incarnation_id{7}, std::nullopt, {}));
  parent_.OnGrant("10.0.0.1", std::nullopt);
  EXPECT_EQ(parent_.counters().unreadable, 2U);
}

// Guards against a daemon that takes part although its setting says otherwise.
TEST_F(repeat_sharing_test, WithoutTheSettingNothingIsAnswered) {
  repeat_sharing off(context_, {.self = {.ip = kParentIp}}, {});
  EXPECT_FALSE(off.OnReport(incarnation_id{7}, repeat_frame{}, {}));
}

// Guards against a daemon that has no link to its parent when it first reports,
// and gives up one parent after the other (soak 61001: another one every 0.75
// s).
TEST_F(repeat_sharing_test, AParentWithoutALinkIsKept) {
  Listens();
  std::set<std::string> asked;
  int reports = 0;
  repeat_sharing child(
      context_, {.self = {.ip = "10.0.0.1"}, .enabled = true},
      {.is_ready =
           [&](const std::string& ip) {
             asked.insert(ip);
             return child_.ReadsRepeatReports(kParentIp);
           },
       .send =
           [&](const std::string& ip, const repeat_frame& report) {
             ++reports;
             child.OnGrant(ip, repeat_frame{.number = report.number});
           },
       .budgets = [] { return std::vector<own_repeat_budget>(); }});
  child.OnView(
      daemon_order::InOneDataCentre({"10.0.0.1", "10.0.0.2", "10.0.0.3"}));
  EXPECT_TRUE(RunUntil(context_, [&] { return reports == 4; }));
  EXPECT_EQ(asked.size(), 1U);
  EXPECT_EQ(child.counters().grants, 4U);
  child.Stop();
}

// Guards against a fleet that starts and of which all daemons report to the few
// that are listed.
TEST(RepeatSharingConnectionTest, ADaemonReportsOnceItIsListed) {
  boost::asio::io_context context;
  int asked = 0;
  repeat_sharing child(
      context, {.self = {.ip = "10.0.0.1"}, .enabled = true},
      {.is_ready =
           [&](const std::string&) {
             ++asked;
             return false;
           },
       .send = [](const std::string&, const repeat_frame&) {},
       .budgets = [] { return std::vector<own_repeat_budget>(); }});
  child.OnView(daemon_order::InOneDataCentre({"10.0.0.2", "10.0.0.3"}));
  EXPECT_EQ(asked, 0);
  child.OnView(
      daemon_order::InOneDataCentre({"10.0.0.1", "10.0.0.2", "10.0.0.3"}));
  EXPECT_EQ(asked, 1);
  // Its entry may expire while it runs.
  child.OnView(daemon_order::InOneDataCentre({"10.0.0.2", "10.0.0.3"}));
  EXPECT_TRUE(RunUntil(context, [&] { return asked == 2; }));
  child.Stop();
}

// A daemon with demand that reports to another one every 250 ms.
class reporting_daemon {
 public:
  reporting_daemon() {
    std::vector<std::string> ips;
    for (const char* const ip : {"10.0.0.1", "10.0.0.2"}) {
      ips.emplace_back(ip);
    }
    // One of the two is the root; the other one reports.
    for (const char* const ip : {"10.0.0.1", "10.0.0.2"}) {
      if (reports.empty()) {
        Start(ip, daemon_order::InOneDataCentre(ips));
      }
    }
  }
  ~reporting_daemon() { child_->Stop(); }
  reporting_daemon(const reporting_daemon&) = delete;
  reporting_daemon& operator=(const reporting_daemon&) = delete;

  bool RunUntilReports(std::size_t count) {
    return RunUntil(context_, [&] { return reports.size() >= count; });
  }
  void Reconnect() { child_->OnConnected(parent_); }

  bool answers = true;  // The reports from the second on.
  std::vector<repeat_frame> reports;

 private:
  void Start(const std::string& ip, const daemon_order& order) {
    child_ = std::make_unique<repeat_sharing>(
        context_, repeat_sharing_options{.self = {.ip = ip}, .enabled = true},
        repeat_sharing_callbacks{
            .is_ready = [](const std::string&) { return true; },
            .send =
                [this](const std::string& to, const repeat_frame& report) {
                  parent_ = to;
                  reports.push_back(report);
                  boost::asio::post(context_, [this, report] {
                    if (answers) {
                      child_->OnGrant(parent_,
                                      repeat_frame{.number = report.number});
                    }
                  });
                },
            .budgets =
                [this] {
                  (void)budget_.TrySpend({.level = priority::kCritical},
                                         monotonic_clock::now());
                  return std::vector<own_repeat_budget>{
                      {.service = kService, .budget = &budget_}};
                }});
    child_->OnView(order);
  }

  boost::asio::io_context context_;
  ranked_repeat_budget budget_{{.ratio = 0, .reserve = 0}};
  std::unique_ptr<repeat_sharing> child_;
  std::string parent_;
};

// Guards against tokens over a connection whose first frame is late, which the
// receiver takes for one that didn't wait: they would live longer than their
// lender counts them.
TEST(RepeatSharingConnectionTest, TheFirstReportOfAConnectionIsEmpty) {
  reporting_daemon daemon;
  ASSERT_TRUE(daemon.RunUntilReports(2));
  EXPECT_TRUE(daemon.reports[0].entries.empty());
  EXPECT_FALSE(daemon.reports[1].entries.empty());
  const std::size_t before = daemon.reports.size();
  daemon.Reconnect();
  ASSERT_TRUE(daemon.RunUntilReports(before + 2));
  EXPECT_TRUE(daemon.reports[before].entries.empty());
  EXPECT_FALSE(daemon.reports[before + 1].entries.empty());
}

// Guards against tokens for a parent that doesn't answer.
TEST(RepeatSharingConnectionTest, WithoutAnAnswerReportsStayEmpty) {
  reporting_daemon daemon;
  daemon.answers = false;
  ASSERT_TRUE(daemon.RunUntilReports(2));
  EXPECT_TRUE(daemon.reports[0].entries.empty());
  EXPECT_TRUE(daemon.reports[1].entries.empty());
}

// Guards against a late answer, or one over an earlier connection, that counts
// as one in time.
TEST(ReportParentTest, OnlyAnAnswerInTimeOverThisConnectionCounts) {
  const time_point start{seconds(1000)};
  report_parent parent({.self = "10.0.0.1"});
  parent.SetDaemons(daemon_order::InOneDataCentre(
      {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}));
  parent.Choose(start);
  ASSERT_TRUE(parent.ip());
  const std::string ip = *parent.ip();
  const auto answer_after = [&](milliseconds wait) {
    const auto number = parent.Begin(start);
    EXPECT_TRUE(number);
    (void)parent.OnResponse(ip, *number, start + wait);
    return parent.answered_in_time();
  };
  EXPECT_TRUE(answer_after(report_parent::kResponseTimeout));
  EXPECT_FALSE(answer_after(report_parent::kResponseTimeout + milliseconds(1)));
  EXPECT_TRUE(answer_after(milliseconds(0)));
  const auto number = parent.Begin(start);
  EXPECT_TRUE(number);
  parent.OnConnected(ip);
  EXPECT_FALSE(parent.OnResponse(ip, *number, start));
  EXPECT_FALSE(parent.answered_in_time());
  EXPECT_TRUE(answer_after(milliseconds(0)));
  (void)parent.Begin(start);
  (void)parent.Begin(start + report_parent::kResponseTimeout);
  EXPECT_FALSE(parent.answered_in_time());
}

// Guards against tokens of an answer that belongs to an earlier report, or that
// is taken twice.
TEST(ReportParentTest, OnlyTheLastReportIsAnsweredOnce) {
  const time_point start{seconds(1000)};
  report_parent parent({.self = "10.0.0.1"});
  parent.SetDaemons(daemon_order::InOneDataCentre(
      {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}));
  parent.Choose(start);
  ASSERT_TRUE(parent.ip());
  const std::string ip = *parent.ip();
  const auto first = parent.Begin(start);
  ASSERT_TRUE(first);
  EXPECT_FALSE(parent.Begin(start + milliseconds(250)));
  const time_point later = start + report_parent::kResponseTimeout;
  const auto second = parent.Begin(later);
  ASSERT_TRUE(second);
  EXPECT_FALSE(parent.OnResponse(ip, *first, later));
  EXPECT_FALSE(parent.OnResponse("10.0.0.9", *second, later));
  EXPECT_EQ(parent.OnResponse(ip, *second, later), later);
  EXPECT_FALSE(parent.OnResponse(ip, *second, later));
}

}  // namespace
}  // namespace pistachioweir
