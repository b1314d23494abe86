// Fuzzes JSON-RPC between daemons, both the server's requests and the answers
// that a client reads.
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/fleet/peer_rpc.h"

namespace pistachioweir {
namespace {

peer_rpc_sources Sources() {
  return {
      .document =
          [](const manifest_version&) {
            return std::make_shared<const std::string>("{}");
          },
      .targets =
          [](const std::string&) { return std::vector<fleet_target>(1); },
  };
}

}  // namespace
}  // namespace pistachioweir

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static pistachioweir::peer_rpc_server server(pistachioweir::Sources());
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)server.Handle(text);
  (void)pistachioweir::ReadDocumentAnswer(text);
  (void)pistachioweir::ReadTargetsAnswer(text);
  return 0;
}
