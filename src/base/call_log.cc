// Lines of requests in progress.
#include "include/base/call_log.h"

#include <xxhash.h>

namespace pistachioweir {

void call_log::Add(std::uint64_t key,
                   std::string_view request_id,
                   std::string_view event,
                   std::initializer_list<log_field> fields) {
  if (bytes_ > options_.max_bytes) {
    ++dropped_;
    return;
  }
  std::string& lines = lines_[key];
  const std::size_t before = lines.size();
  AppendLogLine(log_level::kInfo, event, fields, &lines);
  lines.pop_back();
  lines.append(" request=").append(request_id).append("\n");
  bytes_ += lines.size() - before;
}

void call_log::End(std::uint64_t key,
                   std::string_view request_id,
                   bool failed) {
  const auto found = lines_.find(key);
  if (found == lines_.end()) {
    return;
  }
  bytes_ -= found->second.size();
  const bool kept = XXH3_64bits(request_id.data(), request_id.size()) %
                        options_.keep_one_in ==
                    0;
  if (failed || kept) {
    WriteLogLines(found->second);
  }
  lines_.erase(found);
}

}  // namespace pistachioweir
