// Versions, documents and digests of manifests.
#include "include/fleet/manifest_store.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace pistachioweir {
namespace {

std::uint64_t HashOf(std::string_view service, std::uint64_t version) {
  return XXH64(service.data(), service.size(), version);
}

std::set<std::string> CalledBy(const service_manifest& manifest) {
  std::set<std::string> called;
  for (const method_spec& method : manifest.methods) {
    for (const downstream_call& call : method.calls) {
      called.insert(call.service);
    }
  }
  return called;
}

}  // namespace

manifest_store::manifest_store(std::string own_service)
    : own_service_(std::move(own_service)), buckets_(kBuckets) {
  FindWanted();
}

std::size_t manifest_store::BucketOf(std::string_view service) {
  return HashOf(service, 0) % kBuckets;
}

bool manifest_store::NoteVersion(const manifest_version& version) {
  if (version.service.empty() || version.version == 0) {
    return false;
  }
  const auto known = known_.find(version.service);
  const std::uint64_t before = known == known_.end() ? 0 : known->second;
  if (version.version <= before) {
    return false;
  }
  if (known == known_.end() && known_.size() >= kMaxServices &&
      !IsWanted(version.service)) {
    return false;
  }
  std::uint64_t change = HashOf(version.service, version.version);
  if (before != 0) {
    change ^= HashOf(version.service, before);
  }
  buckets_[BucketOf(version.service)] ^= change;
  digest_ ^= change;
  known_[version.service] = version.version;
  if (IsWanted(version.service)) {
    FindMissing();
  }
  return true;
}

manifest_verdict manifest_store::Accept(service_manifest manifest,
                                        std::string text) {
  if (!IsWanted(manifest.service)) {
    return manifest_verdict::kUnwanted;
  }
  const std::uint64_t in_force = VersionInForce(manifest.service);
  // Guard VERSION_RISES in spec/manifest_versions.pml. A stale platform, or a
  // datagram that was long under way, brings documents of the past.
  if (manifest.version <= in_force) {
    return manifest_verdict::kOlder;
  }
  // A restarted daemon has nothing in force, yet may have heard from peers what
  // was: an older document would take the fleet's rules back on this VM.
  if (in_force == 0 && manifest.version < KnownVersion(manifest.service)) {
    return manifest_verdict::kOlder;
  }
  const std::string service = manifest.service;
  NoteVersion({.service = service, .version = manifest.version});
  documents_[service] = {
      .manifest = std::make_shared<const service_manifest>(std::move(manifest)),
      .text = std::make_shared<const std::string>(std::move(text))};
  FindWanted();
  assert(KnownVersion(service) >= VersionInForce(service));
  return manifest_verdict::kAccepted;
}

std::uint64_t manifest_store::BucketDigest(std::size_t bucket) const {
  assert(bucket < kBuckets);
  return buckets_[bucket];
}

std::vector<manifest_version> manifest_store::VersionsIn(
    std::size_t bucket) const {
  std::vector<manifest_version> versions;
  for (const auto& [service, version] : known_) {
    if (BucketOf(service) == bucket) {
      versions.push_back({.service = service, .version = version});
    }
  }
  return versions;
}

std::uint64_t manifest_store::KnownVersion(std::string_view service) const {
  const auto found = known_.find(service);
  return found == known_.end() ? 0 : found->second;
}

std::uint64_t manifest_store::VersionInForce(std::string_view service) const {
  const auto found = documents_.find(service);
  return found == documents_.end() ? 0 : found->second.manifest->version;
}

std::optional<manifest_document> manifest_store::Find(
    std::string_view service) const {
  const auto found = documents_.find(service);
  if (found == documents_.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool manifest_store::IsWanted(std::string_view service) const {
  return std::ranges::binary_search(wanted_, service);
}

void manifest_store::FindMissing() {
  missing_.clear();
  for (const std::string& service : wanted_) {
    const std::uint64_t known = KnownVersion(service);
    const std::uint64_t in_force = VersionInForce(service);
    if (in_force == 0 || in_force < known) {
      missing_.push_back({.service = service, .version = known});
    }
  }
}

std::string manifest_store::PickUnrelated(std::uint64_t draw) const {
  std::vector<std::string_view> unrelated;
  for (const auto& [service, version] : known_) {
    if (!std::ranges::binary_search(direct_, service)) {
      unrelated.push_back(service);
    }
  }
  return unrelated.empty() ? std::string()
                           : std::string(unrelated[draw % unrelated.size()]);
}

void manifest_store::FindWanted() {
  std::set<std::string> reached = {own_service_};
  std::vector<std::string> open = {own_service_};
  while (!open.empty()) {
    const auto document = documents_.find(open.back());
    open.pop_back();
    if (document == documents_.end()) {
      continue;
    }
    for (const std::string& called : CalledBy(*document->second.manifest)) {
      if (reached.size() < kMaxServices && reached.insert(called).second) {
        open.push_back(called);
      }
    }
  }
  wanted_.assign(reached.begin(), reached.end());

  std::set<std::string> direct = {own_service_};
  if (const auto own = documents_.find(own_service_); own != documents_.end()) {
    direct.merge(CalledBy(*own->second.manifest));
  }
  direct_.assign(direct.begin(), direct.end());
  std::erase_if(documents_,
                [this](const auto& entry) { return !IsWanted(entry.first); });
  FindMissing();
}

}  // namespace pistachioweir
