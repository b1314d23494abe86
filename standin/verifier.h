// verifier: checks the promises of the system from two sides, what targets
// recorded that they ran and what callers were told.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/base/time.h"

namespace pistachioweir::standin {

struct verifier_options {
  // Extra executions that a root request may cause, as in its manifest.
  std::uint32_t retry_credit = 2;
  // How long after it was published as leaving a target may get new calls.
  milliseconds leaving_limit{3000};
};

struct verdict {
  std::uint64_t executions = 0;
  std::uint64_t told = 0;
  std::uint64_t completed = 0;
  // Broken promises by their name, each with what was seen.
  std::map<std::string, std::vector<std::string>> violations;

  [[nodiscard]] bool ok() const { return violations.empty(); }
  [[nodiscard]] std::uint64_t CountOf(const std::string& name) const;
};

// Names of the promises, keys of verdict::violations.
inline constexpr char kDoubled[] = "doubled";       // At-most-once ran twice.
inline constexpr char kRanUntold[] = "ran_untold";  // Told not_executed, ran.
inline constexpr char kWrongAnswer[] = "wrong_answer";  // Mixed or cut.
inline constexpr char kOverRetried[] = "over_retried";
inline constexpr char kLeavingCalled[] = "leaving_called";
inline constexpr char kManifestBack[] = "manifest_back";

// A root that starts so stands for several requests with the same body, sent to
// be recognised by it. What one was told says nothing of another, so they are
// left out of all but the checks of answers and of leaving targets.
inline constexpr char kSameBody[] = "same-body-";

// Reads files of JSON lines, and daemons' logs, in any order, and judges.
class verifier {
 public:
  explicit verifier(verifier_options options) : options_(options) {}

  // Records of targets, platform and callers. A last line that was cut by the
  // end of its writer is passed over.
  void ReadRecords(const std::string& path);
  // The log of one daemon, over all its starts. A manifest is in force from the
  // moment that the daemon takes calls: a newcomer may read an old one and must
  // have replaced it before.
  void ReadLog(const std::string& path);

  [[nodiscard]] verdict Judge() const;

 private:
  struct execution {
    std::string vm;
    std::int64_t arrived_us = 0;
    bool at_most_once = false;
  };
  struct statement {
    std::string path;  // Empty at the root: the whole tree.
    std::string outcome;
    bool wrong = false;
  };
  struct publication {
    std::int64_t us = 0;
    std::string state;
  };
  // A version that came into force.
  struct acceptance {
    std::string log;
    std::uint64_t version = 0;
  };

  void Read(const Json::Value& record);
  void JudgeExecutions(const std::string& root, verdict* result) const;
  void JudgeStatements(const std::string& root, verdict* result) const;
  // When a VM that was leaving at `us` was first published so.
  static std::optional<std::int64_t> LeavingSince(
      const std::vector<publication>& states,
      std::int64_t us);
  void JudgeLeaving(verdict* result) const;
  void JudgeManifests(verdict* result) const;

  verifier_options options_;
  // By root, then path.
  std::map<std::string, std::map<std::string, std::vector<execution>>> runs_;
  std::map<std::string, std::vector<statement>> told_;      // By root.
  std::map<std::string, std::vector<publication>> states_;  // By VM, in order.
  // By service, in the order of each log.
  std::map<std::string, std::vector<acceptance>> acceptances_;
};

}  // namespace pistachioweir::standin
