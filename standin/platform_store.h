// platform_store: the documents of the platform's stand-in and the ways in
// which it fails.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/base/enum_table.h"

namespace pistachioweir::standin {

enum class platform_mode : std::uint8_t {
  kOk,
  kDown,   // Closes each connection without an answer.
  kStale,  // Serves what stood when the mode was set.
  kOlder,  // Serves each document as it was one revision ago.
  kSlow,   // Answers half a second late.
};

inline constexpr enum_table<platform_mode, 5> kPlatformModeNames(
    {"ok", "down", "stale", "older", "slow"});

struct document {
  std::uint64_t revision = 0;
  std::string body;
};

// Keeps every revision of each document. "index" is made from the manifests.
class platform_store {
 public:
  // Reads each file of `folder` as the document of its path without ".json".
  void LoadFolder(const std::string& folder);
  void Put(const std::string& key, const std::string& body);
  void SetMode(platform_mode mode);

  [[nodiscard]] platform_mode mode() const { return mode_; }
  // The document as the present mode serves it.
  [[nodiscard]] std::optional<document> Find(const std::string& key) const;

 private:
  void Add(const std::string& key, const std::string& body);

  platform_mode mode_ = platform_mode::kOk;
  std::uint64_t revision_ = 0;
  std::uint64_t frozen_revision_ = 0;  // What kStale serves up to.
  std::map<std::string, std::vector<document>> documents_;
  Json::Value index_;
};

}  // namespace pistachioweir::standin
