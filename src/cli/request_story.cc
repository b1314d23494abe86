// Reading of log lines.
#include "src/cli/request_story.h"

#include <algorithm>
#include <utility>

namespace pistachioweir {
namespace {

// Takes "name=value" or "name=\"value\"" off the front; nothing if there is
// none.
std::optional<std::pair<std::string, std::string>> TakeField(
    std::string_view* text) {
  text->remove_prefix(std::min(text->find_first_not_of(' '), text->size()));
  const std::size_t equals = text->find('=');
  if (equals == text->npos || equals == 0) {
    return std::nullopt;
  }
  std::pair<std::string, std::string> field;
  field.first = text->substr(0, equals);
  text->remove_prefix(equals + 1);
  const bool quoted = text->starts_with('"');
  if (!quoted) {
    const std::size_t end = std::min(text->find(' '), text->size());
    field.second = text->substr(0, end);
    text->remove_prefix(end);
    return field;
  }
  text->remove_prefix(1);
  while (!text->empty() && text->front() != '"') {
    if (text->front() == '\\' && text->size() > 1) {
      text->remove_prefix(1);
    }
    field.second.push_back(text->front());
    text->remove_prefix(1);
  }
  if (text->empty()) {
    return std::nullopt;  // The line was cut.
  }
  text->remove_prefix(1);
  return field;
}

}  // namespace

std::optional<log_line> ParseLogLine(std::string_view text) {
  const std::size_t begin = text.find("time=");
  if (begin == text.npos) {
    return std::nullopt;
  }
  text.remove_prefix(begin);
  log_line line;
  while (text.find_first_not_of(' ') != text.npos) {
    auto field = TakeField(&text);
    if (!field) {
      return std::nullopt;
    }
    if (field->first == "time") {
      line.time = field->second;
    } else if (field->first == "event") {
      line.event = field->second;
    } else {
      line.fields.push_back(*std::move(field));
    }
  }
  if (line.event.empty()) {
    return std::nullopt;
  }
  return line;
}

void request_story::Add(std::istream& log, const std::string& source) {
  const std::string name = "request=" + request_id_;
  std::string text;
  while (std::getline(log, text)) {
    const std::size_t at = text.find(name);
    const std::size_t behind = at + name.size();
    if (at == text.npos || (behind < text.size() && text[behind] != ' ')) {
      continue;
    }
    const auto line = ParseLogLine(text);
    if (!line) {
      ++unreadable_;
      continue;
    }
    std::string told = line->time + "  " + source + "  " + line->event;
    for (const auto& [field, value] : line->fields) {
      if (field != "request" && field != "level") {
        told.append(" ").append(field).append("=").append(value);
      }
    }
    lines_.emplace(line->time, std::move(told));
  }
}

std::string request_story::Text() const {
  std::string text;
  for (const auto& [time, line] : lines_) {
    text.append(line).append("\n");
  }
  return text;
}

}  // namespace pistachioweir
