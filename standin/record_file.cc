// Records as JSON lines.
#include "standin/record_file.h"

#include <fcntl.h>
#include <json/reader.h>
#include <json/writer.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <stdexcept>
#include <utility>

namespace pistachioweir::standin {

record_file::record_file(const std::string& path) {
  if (path.empty()) {
    return;
  }
  descriptor_ =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (descriptor_ < 0) {
    throw std::runtime_error("can't write " + path);
  }
}

record_file::~record_file() {
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
}

void record_file::Write(Json::Value record) {
  if (descriptor_ < 0) {
    return;
  }
  record["us"] = static_cast<Json::Int64>(WallMicroseconds());
  const std::string line = ToCompactJson(record) + "\n";
  if (::write(descriptor_, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    throw std::runtime_error("can't write a record");
  }
}

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string ToCompactJson(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder made;
    made["indentation"] = "";
    made["commentStyle"] = "None";  // They would swallow the line.
    return made;
  }();
  return Json::writeString(builder, value);
}

Json::Value ParseJson(const std::string& text) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
    return {};
  }
  return value;
}

}  // namespace pistachioweir::standin
