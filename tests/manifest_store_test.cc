// Tests of the versions, documents and digests of manifests.
#include "include/fleet/manifest_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace pistachioweir {
namespace {

service_manifest Manifest(const std::string& service,
                          std::uint64_t version,
                          const std::vector<std::string>& calls = {}) {
  service_manifest manifest = {.service = service, .version = version};
  method_spec method = {.name = "run"};
  for (const std::string& called : calls) {
    method.calls.push_back({.service = called, .method = "run"});
  }
  manifest.methods.push_back(method);
  return manifest;
}

TEST(ManifestStoreTest, KeepsWhatIsServedAndReached) {
  manifest_store store("a");
  store.Accept(Manifest("a", 1, {"b"}), "a1");
  store.Accept(Manifest("b", 1, {"c"}), "b1");
  EXPECT_EQ(store.wanted(), (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(store.direct(), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(store.Accept(Manifest("x", 1), "x1"), manifest_verdict::kUnwanted);
  ASSERT_EQ(store.Missing().size(), 1U);
  EXPECT_EQ(store.Missing().front().service, "c");

  store.Accept(Manifest("a", 2), "a2");
  EXPECT_EQ(store.wanted(), std::vector<std::string>{"a"});
  EXPECT_FALSE(store.Find("b"));
}

// The configuration service is restored from an old copy and offers last
// week's manifest again. Callers must not see its rules come back.
TEST(ManifestStoreTest, AnOlderManifestIsNeverAccepted) {
  manifest_store store("a");
  EXPECT_EQ(store.Accept(Manifest("a", 7), "a7"), manifest_verdict::kAccepted);
  EXPECT_EQ(store.Accept(Manifest("a", 6), "a6"), manifest_verdict::kOlder);
  EXPECT_EQ(store.Accept(Manifest("a", 7), "a7"), manifest_verdict::kOlder);
  EXPECT_EQ(store.VersionInForce("a"), 7U);
  EXPECT_EQ(*store.Find("a")->text, "a7");
}

// A daemon restarts, hears from a peer that version 7 exists, and then reads
// version 6 from a stale replica: acting on it would be a step back.
TEST(ManifestStoreTest, ARestartedDaemonWaitsForTheVersionThatPeersKnow) {
  manifest_store store("a");
  store.NoteVersion({.service = "a", .version = 7});
  EXPECT_EQ(store.Accept(Manifest("a", 6), "a6"), manifest_verdict::kOlder);
  EXPECT_EQ(store.VersionInForce("a"), 0U);
  EXPECT_EQ(store.Accept(Manifest("a", 7), "a7"), manifest_verdict::kAccepted);
}

RC_GTEST_PROP(
    ManifestStoreTest,
    VersionsRiseAndDigestsAgreeInAnyOrder,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& news)) {
  manifest_store one("a");
  manifest_store other("a");
  std::vector<manifest_version> versions;
  versions.reserve(news.size());
  for (const auto& [service, version] : news) {
    versions.push_back(
        {.service = "s" + std::to_string(service), .version = version});
  }
  for (const manifest_version& version : versions) {
    const std::uint64_t before = one.KnownVersion(version.service);
    one.NoteVersion(version);
    RC_ASSERT(one.KnownVersion(version.service) >= before);
  }
  for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
    other.NoteVersion(*it);
  }
  RC_ASSERT(one.digest() == other.digest());
  for (std::size_t i = 0; i < manifest_store::kBuckets; ++i) {
    RC_ASSERT(one.BucketDigest(i) == other.BucketDigest(i));
  }
}

}  // namespace
}  // namespace pistachioweir
