// record_file: JSON lines that survive the death of their writer.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>

namespace pistachioweir::standin {

// Owns the file. Each line goes out by one write() to a file opened for
// appending: after kill -9 the page cache still has all that was recorded, and
// several processes can share a file.
class record_file {
 public:
  // Writes nowhere if `path` is empty. Throws std::runtime_error if the file
  // can't be opened.
  explicit record_file(const std::string& path);
  ~record_file();
  record_file(const record_file&) = delete;
  record_file& operator=(const record_file&) = delete;

  // Adds the member "us", the time of writing, and writes one line.
  void Write(Json::Value record);

 private:
  int descriptor_ = -1;
};

// Microseconds since 1970: comparable between processes of one machine, which
// is all that records are compared over.
[[nodiscard]] std::int64_t WallMicroseconds();

// One line without spaces.
[[nodiscard]] std::string ToCompactJson(const Json::Value& value);

// Reads JSON with comments; null if it isn't JSON.
[[nodiscard]] Json::Value ParseJson(const std::string& text);

}  // namespace pistachioweir::standin
