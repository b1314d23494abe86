// text_table: rows of cells, printed in aligned columns.
#pragma once

#include <string>
#include <vector>

namespace pistachioweir {

class text_table {
 public:
  explicit text_table(std::vector<std::string> header);

  // `cells` has as many entries as the header.
  void Add(std::vector<std::string> cells);

  [[nodiscard]] bool empty() const { return rows_.size() == 1; }
  // One line a row, the header first; columns are two spaces apart.
  [[nodiscard]] std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows_;  // The header is the first.
};

}  // namespace pistachioweir
