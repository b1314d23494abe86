// The checks over records.
#include "standin/verifier.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "standin/http.h"
#include "standin/record_file.h"

namespace pistachioweir::standin {
namespace {

// Whether `path` is `above` or a call made below it.
bool IsWithin(const std::string& path, const std::string& above) {
  return above.empty() || path == above || path.starts_with(above + "/");
}

// What follows `key` and "=" in a log line; empty if it isn't there.
std::string LogField(const std::string& line, const std::string& key) {
  const std::size_t at = line.find(key + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t start = at + key.size() + 1;
  return line.substr(start, line.find_first_of(" \"", start) - start);
}

}  // namespace

std::uint64_t verdict::CountOf(const std::string& name) const {
  const auto found = violations.find(name);
  return found == violations.end() ? 0 : found->second.size();
}

void verifier::ReadRecords(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const Json::Value record = ParseJson(line);
    if (record.isObject()) {
      Read(record);
    }
  }
}

void verifier::ReadLog(const std::string& path) {
  std::map<std::string, std::uint64_t> held;  // By service, of this start.
  bool ready = false;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const std::string event = LogField(line, "event");
    if (event == "started") {
      held.clear();
      ready = false;
    } else if (event == "manifest_accepted") {
      const std::string service = LogField(line, "subject");
      held[service] = NumberOr(LogField(line, "version"), 0);
      if (ready) {
        acceptances_[service].push_back({path, held[service]});
      }
    } else if (event == "ready") {
      ready = true;
      for (const auto& [service, version] : held) {
        acceptances_[service].push_back({path, version});
      }
    }
  }
}

verdict verifier::Judge() const {
  verdict result;
  for (const auto& [root, paths] : runs_) {
    JudgeExecutions(root, &result);
  }
  for (const auto& [root, statements] : told_) {
    JudgeStatements(root, &result);
  }
  JudgeLeaving(&result);
  JudgeManifests(&result);
  return result;
}

void verifier::Read(const Json::Value& record) {
  const std::string event = record["event"].asString();
  const std::string root = record["root"].asString();
  if (event == "start") {
    runs_[root][record["path"].asString()].push_back(
        {.vm = record["vm"].asString(),
         .arrived_us = record["arrived_us"].asInt64(),
         .at_most_once = record["at_most_once"].asBool()});
  } else if (event == "wrong_answer") {
    told_[root].push_back({.path = record["path"].asString(), .wrong = true});
  } else if (event == "told") {
    told_[root].push_back({.path = record["path"].asString(),
                           .outcome = record["outcome"].asString(),
                           .wrong = record["wrong"].asBool()});
  } else if (event == "document") {
    for (const Json::Value& vm : record["vms"]) {
      states_[vm["vm"].asString()].push_back(
          {.us = record["us"].asInt64(), .state = vm["state"].asString()});
    }
  }
}

void verifier::JudgeExecutions(const std::string& root, verdict* result) const {
  for (const auto& [path, executions] : runs_.at(root)) {
    result->executions += executions.size();
    if (root.starts_with(kSameBody)) {
      continue;
    }
    const std::string seen = root + " " + path + " " +
                             std::to_string(executions.size()) +
                             " times, first on " + executions.front().vm +
                             ", last on " + executions.back().vm;
    if (executions.front().at_most_once && executions.size() > 1) {
      result->violations[kDoubled].push_back(seen);
    }
    if (executions.size() > 1 + options_.retry_credit) {
      result->violations[kOverRetried].push_back(seen);
    }
  }
}

void verifier::JudgeStatements(const std::string& root, verdict* result) const {
  const auto runs = runs_.find(root);
  for (const statement& said : told_.at(root)) {
    ++result->told;
    if (said.outcome == "completed") {
      ++result->completed;
    }
    if (said.wrong) {
      result->violations[kWrongAnswer].push_back(root + " " + said.path);
    }
    if (said.outcome != "not_executed" || runs == runs_.end() ||
        root.starts_with(kSameBody)) {
      continue;
    }
    for (const auto& [path, executions] : runs->second) {
      if (IsWithin(path, said.path)) {
        result->violations[kRanUntold].push_back(root + " " + path + " on " +
                                                 executions.front().vm);
      }
    }
  }
}

std::optional<std::int64_t> verifier::LeavingSince(
    const std::vector<publication>& states,
    std::int64_t us) {
  std::optional<std::int64_t> since;
  for (const publication& published : states) {
    if (published.us > us) {
      break;
    }
    if (published.state == "live") {
      since.reset();
    } else if (!since) {
      since = published.us;
    }
  }
  return since;
}

void verifier::JudgeLeaving(verdict* result) const {
  const std::int64_t limit_us =
      std::chrono::microseconds(options_.leaving_limit).count();
  for (const auto& [root, paths] : runs_) {
    for (const auto& [path, executions] : paths) {
      for (const execution& run : executions) {
        const auto states = states_.find(run.vm);
        if (states == states_.end()) {
          continue;
        }
        const auto since = LeavingSince(states->second, run.arrived_us);
        if (since && run.arrived_us > *since + limit_us) {
          result->violations[kLeavingCalled].push_back(root + " " + path +
                                                       " on " + run.vm);
        }
      }
    }
  }
}

// Within one log the versions of a service only rise, also over restarts of
// the daemon that wrote it.
void verifier::JudgeManifests(verdict* result) const {
  for (const auto& [service, accepted] : acceptances_) {
    std::map<std::string, std::uint64_t> last;  // By log.
    for (const acceptance& one : accepted) {
      std::uint64_t& version = last[one.log];
      if (one.version < version) {
        result->violations[kManifestBack].push_back(
            service + " from " + std::to_string(version) + " to " +
            std::to_string(one.version) + " in " + one.log);
      }
      version = std::max(version, one.version);
    }
  }
}

}  // namespace pistachioweir::standin
