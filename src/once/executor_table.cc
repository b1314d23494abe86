// Instantiates the executor table with all guards.
#include "include/once/executor_table.h"

#include "src/once/executor_table_impl.h"

namespace pistachioweir {

template class basic_executor_table<once_guards>;

}  // namespace pistachioweir
