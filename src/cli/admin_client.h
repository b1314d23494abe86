// Reads a page of a daemon's admin port.
#pragma once

#include <string>

#include "include/base/time.h"
#include "include/config/settings.h"

namespace pistachioweir {

struct admin_page {
  std::string body;     // Empty if `problem` isn't.
  std::string problem;  // Why there is no page, for people.
};

// Blocks until the page is here, `timeout` at most.
[[nodiscard]] admin_page FetchAdminPage(const endpoint& address,
                                        const std::string& path,
                                        const std::string& query,
                                        milliseconds timeout);

}  // namespace pistachioweir
