// manifest_set: the manifests of several services, looked up by name, with what
// follows from all of them together. Immutable, so that threads share one
// without a lock; a change makes a new set.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "include/config/config_error.h"
#include "include/config/manifest.h"

namespace pistachioweir {

// Methods on the longest chain of calls that a set may describe.
inline constexpr std::size_t kMaxCallDepth = 11;

// Owns its manifests; pointers it returns live as long as it does.
class manifest_set {
 public:
  manifest_set() = default;
  // Of several manifests of one service the newest counts; Check() names the
  // others.
  explicit manifest_set(std::vector<service_manifest> manifests);

  manifest_set(const manifest_set&) = delete;
  manifest_set& operator=(const manifest_set&) = delete;
  manifest_set(manifest_set&&) noexcept = default;
  manifest_set& operator=(manifest_set&&) noexcept = default;

  [[nodiscard]] const std::vector<service_manifest>& manifests() const {
    return manifests_;
  }

  // Nullptr if there is none.
  [[nodiscard]] const service_manifest* Find(std::string_view service) const;
  [[nodiscard]] const method_spec* FindMethod(std::string_view service,
                                              std::string_view method) const;

  // Whether a run of this method could run an at-most-once one: it is declared
  // so, or calls such a method, at any depth. A method that the set doesn't
  // hold counts as at-most-once, because nothing here shows that it isn't; so a
  // set needs all services that its methods reach. Takes no time that grows
  // with the set.
  [[nodiscard]] bool IsAtMostOnce(std::string_view service,
                                  std::string_view method) const;

  // What is wrong between the manifests: a call to a service or method that
  // isn't there, a cycle, a chain of more than kMaxCallDepth methods, a callee
  // that may take longer than its caller, one version with two contents.
  [[nodiscard]] config_errors Check() const;

  // What is allowed but likely a mistake: an at-most-once method called by a
  // less important one. The call inherits the lower priority, and so is refused
  // before lookups are. A lookup that several callers share is meant to take
  // the priority of each.
  [[nodiscard]] config_errors Warnings() const;

 private:
  struct string_hash : std::hash<std::string_view> {
    using is_transparent = void;
  };
  using name_set =
      std::unordered_set<std::string, string_hash, std::equal_to<>>;

  void DropOlder();
  void DeriveAtMostOnce();

  // One per service, in order of name.
  std::vector<service_manifest> manifests_;
  // Manifests that lost against another of the same service.
  std::vector<service_manifest> shadowed_;
  // Place of each service in manifests_.
  std::unordered_map<std::string, std::size_t, string_hash, std::equal_to<>>
      by_service_;
  // For each manifest the methods that count as at-most-once.
  std::vector<name_set> at_most_once_;
};

// Whether `next` may take the place of `old`, which is in force for the same
// service. A version that is lower, or the same with other contents, is
// refused: a stale or restored platform would otherwise undo a change.
[[nodiscard]] config_errors CheckSuccessor(const service_manifest& old,
                                           const service_manifest& next);

}  // namespace pistachioweir
