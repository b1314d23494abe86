// Instantiates the key home with all guards.
#include "include/once/key_home.h"

#include "src/once/key_home_impl.h"

namespace pistachioweir {

template class basic_key_home<once_guards>;

}  // namespace pistachioweir
