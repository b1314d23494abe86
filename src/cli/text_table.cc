// Aligned columns.
#include "src/cli/text_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pistachioweir {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

text_table::text_table(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void text_table::Add(std::vector<std::string> cells) {
  assert(cells.size() == rows_[0].size());
  rows_.push_back(std::move(cells));
}

std::string text_table::Text() const {
  std::vector<std::size_t> widths(rows_[0].size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace pistachioweir
