// Documents and their revisions.
#include "standin/platform_store.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "standin/record_file.h"

namespace pistachioweir::standin {
namespace {

constexpr std::string_view kManifestPrefix = "manifest/";

}  // namespace

void platform_store::LoadFolder(const std::string& folder) {
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() != ".json") {
      continue;
    }
    std::ostringstream text;
    text << std::ifstream(entry.path()).rdbuf();
    const auto key = std::filesystem::relative(entry.path(), folder)
                         .replace_extension()
                         .generic_string();
    Put(key, text.str());
  }
}

void platform_store::Put(const std::string& key, const std::string& body) {
  Add(key, body);
  if (!key.starts_with(kManifestPrefix)) {
    return;
  }
  const Json::Value manifest = ParseJson(body);
  if (manifest.isObject()) {
    const std::string service = key.substr(kManifestPrefix.size());
    index_["manifests"][service] = manifest["version"];
    Add("index", ToCompactJson(index_));
  }
}

void platform_store::SetMode(platform_mode mode) {
  mode_ = mode;
  frozen_revision_ = revision_;
}

std::optional<document> platform_store::Find(const std::string& key) const {
  const auto found = documents_.find(key);
  if (found == documents_.end()) {
    return std::nullopt;
  }
  const std::vector<document>& revisions = found->second;
  if (mode_ == platform_mode::kOlder && revisions.size() > 1) {
    return revisions[revisions.size() - 2];
  }
  if (mode_ != platform_mode::kStale) {
    return revisions.back();
  }
  for (auto at = revisions.rbegin(); at != revisions.rend(); ++at) {
    if (at->revision <= frozen_revision_) {
      return *at;
    }
  }
  return std::nullopt;
}

void platform_store::Add(const std::string& key, const std::string& body) {
  documents_[key].push_back({.revision = ++revision_, .body = body});
}

}  // namespace pistachioweir::standin
