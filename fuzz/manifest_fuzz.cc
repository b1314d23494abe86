// Fuzzes the reading of manifests, and the checks over what was read: a call
// graph of any shape must not hang or overflow the stack.
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "include/config/manifest_parser.h"
#include "include/config/manifest_set.h"

namespace pistachioweir {
namespace {

void CheckManifest(std::string_view text) {
  auto result = ParseManifest(text, "manifest");
  if (!result.ok()) {
    return;
  }
  const bool declared = result.value.methods.front().at_most_once;
  const service_manifest copy = result.value;
  const manifest_set set({std::move(result.value)});
  const bool derived =
      set.IsAtMostOnce(copy.service, copy.methods.front().name);
  if (declared && !derived) {
    std::abort();
  }
  (void)set.Check();
  (void)set.Warnings();
  if (!CheckSuccessor(copy, copy).empty()) {
    std::abort();
  }
}

}  // namespace
}  // namespace pistachioweir

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  pistachioweir::CheckManifest({reinterpret_cast<const char*>(data), size});
  return 0;
}
