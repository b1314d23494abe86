// manifest_store: the manifests in force at one daemon, and the newest version
// of every service's manifest that it has heard of.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/enum_table.h"
#include "include/config/manifest.h"

namespace pistachioweir {

// One service's manifest at one version.
struct manifest_version {
  std::string service;
  std::uint64_t version = 0;

  friend auto operator<=>(const manifest_version&,
                          const manifest_version&) = default;
};

enum class manifest_verdict : std::uint8_t {
  kAccepted,
  kOlder,     // Not newer than the one in force.
  kUnwanted,  // Neither served nor called here.
};

inline constexpr enum_table<manifest_verdict, 3> kManifestVerdictNames(
    {"accepted", "older", "unwanted"});

// The document as it was published, beside its value; peers pull the text.
struct manifest_document {
  std::shared_ptr<const service_manifest> manifest;
  std::shared_ptr<const std::string> text;
};

// Keeps the documents of the own service and of all services that can be
// reached from it, since whether a method is at-most-once is derived over the
// call graph; of other services only the version. Holds no clock and does no
// I/O. Not thread-safe.
//
// Versions only rise: a configuration service that was restored from an old
// copy, or a replica that lags, offers an older manifest again. Whoever acted
// on it would bring back rules that the operator has withdrawn. An older
// version is therefore never accepted, whoever offers it.
class manifest_store {
 public:
  // More services than this are not followed: bounds what a peer can make a
  // daemon remember. Over five times the fleet that is designed for.
  static constexpr std::size_t kMaxServices = 4096;
  // The digest is also kept by bucket, so that two daemons that differ find
  // out where in one datagram of 64 numbers.
  static constexpr std::size_t kBuckets = 64;

  explicit manifest_store(std::string own_service);

  // Learns that `version` exists. Returns whether that is news.
  bool NoteVersion(const manifest_version& version);
  manifest_verdict Accept(service_manifest manifest, std::string text);

  [[nodiscard]] const std::string& own_service() const { return own_service_; }
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] std::uint64_t BucketDigest(std::size_t bucket) const;
  [[nodiscard]] std::vector<manifest_version> VersionsIn(
      std::size_t bucket) const;
  [[nodiscard]] static std::size_t BucketOf(std::string_view service);

  [[nodiscard]] std::size_t service_count() const { return known_.size(); }
  // Newest version heard of; zero if none.
  [[nodiscard]] std::uint64_t KnownVersion(std::string_view service) const;
  // Version in force; zero if none.
  [[nodiscard]] std::uint64_t VersionInForce(std::string_view service) const;
  // Nothing if the document is not kept here.
  [[nodiscard]] std::optional<manifest_document> Find(
      std::string_view service) const;
  [[nodiscard]] bool IsWanted(std::string_view service) const;
  // Wanted services, sorted.
  [[nodiscard]] const std::vector<std::string>& wanted() const {
    return wanted_;
  }
  // The own service and those that it calls itself, sorted.
  [[nodiscard]] const std::vector<std::string>& direct() const {
    return direct_;
  }
  // Wanted services with a newer version known than in force, or none at all.
  [[nodiscard]] const std::vector<manifest_version>& Missing() const {
    return missing_;
  }
  // Some service that is neither served nor called here, chosen by `draw`, a
  // random number; empty if none is known.
  [[nodiscard]] std::string PickUnrelated(std::uint64_t draw) const;

 private:
  void FindWanted();
  void FindMissing();

  const std::string own_service_;
  // Invariant: known_[s] >= version of documents_[s].
  std::map<std::string, std::uint64_t, std::less<>> known_;
  std::map<std::string, manifest_document, std::less<>> documents_;
  std::vector<std::string> wanted_;
  std::vector<std::string> direct_;
  std::vector<manifest_version> missing_;  // Follows from the above.
  // Invariant: the exclusive or over buckets_, each over its services' hashes.
  std::uint64_t digest_ = 0;
  std::vector<std::uint64_t> buckets_;
};

}  // namespace pistachioweir
