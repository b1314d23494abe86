// Fuzzes the targets of requests to the admin port, and the tables that the
// command line makes of whatever answers it.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "include/admin/admin_api.h"
#include "src/cli/render.h"

namespace pistachioweir {
namespace {

admin_api NewApi() {
  return admin_api({
      .status = [] { return daemon_status{}; },
      .audit =
          [](std::size_t max) {
            return std::vector<audit_event>(max > 0 ? 1 : 0);
          },
      .explain = [](std::string_view,
                    std::string_view) { return method_explanation{}; },
      .metrics = [] { return std::string(); },
  });
}

}  // namespace
}  // namespace pistachioweir

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const pistachioweir::admin_api api = pistachioweir::NewApi();
  const std::string text(reinterpret_cast<const char*>(data), size);
  const int status = api.Handle("GET", text).status;
  if (status != 200 && (status < 400 || status > 503)) {
    std::abort();
  }
  (void)pistachioweir::RenderStatus(text);
  (void)pistachioweir::RenderAudit(text);
  (void)pistachioweir::RenderExplanation(text);
  return 0;
}
