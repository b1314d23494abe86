// admin_api: the read-only pages of the admin port as values, without sockets.
// A server hands it a request's method and target and sends what it returns.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "include/admin/daemon_status.h"
#include "include/audit/audit_log.h"

namespace pistachioweir {

struct admin_response {
  int status = 200;
  std::string content_type;
  std::string body;
};

// Where the pages get their data. All are called on the server's thread, may be
// called at any time, and must outlive what they refer to.
struct admin_sources {
  std::function<daemon_status()> status;
  std::function<std::vector<audit_event>(std::size_t max)> audit;
  std::function<method_explanation(std::string_view service,
                                   std::string_view method)>
      explain;
  std::function<std::string()> metrics;
};

class admin_api {
 public:
  explicit admin_api(admin_sources sources);

  // Answers GET (or HEAD, whose body the server leaves out) of
  //   /health                          200 if ready, else 503
  //   /status  /metrics
  //   /audit?max=N
  //   /explain?service=S&method=M
  // Anything else is 404, other methods 405: nothing here changes a daemon.
  [[nodiscard]] admin_response Handle(std::string_view verb,
                                      std::string_view target) const;

 private:
  [[nodiscard]] admin_response Health() const;
  [[nodiscard]] admin_response Audit(std::string_view query) const;
  [[nodiscard]] admin_response Explain(std::string_view query) const;

  const admin_sources sources_;
};

}  // namespace pistachioweir
