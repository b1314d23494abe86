// Queries on a manifest.
#include "include/config/manifest.h"

#include <algorithm>

namespace pistachioweir {

const method_spec* service_manifest::FindMethod(std::string_view name) const {
  const auto found = std::ranges::find(methods, name, &method_spec::name);
  return found == methods.end() ? nullptr : &*found;
}

}  // namespace pistachioweir
