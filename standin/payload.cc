// Bodies as JSON with an XXH64 checksum.
#include "standin/payload.h"

#include <json/value.h>
#include <xxhash.h>

#include "standin/record_file.h"

namespace pistachioweir::standin {
namespace {

std::string Checksum(const answer_payload& payload) {
  const std::string all = payload.root + '\n' + payload.path + '\n' +
                          payload.vm + '\n' + payload.padding;
  return std::to_string(XXH64(all.data(), all.size(), 0));
}

}  // namespace

std::string ToBody(const request_payload& payload) {
  Json::Value body;
  body["root"] = payload.root;
  body["path"] = payload.path;
  if (!payload.crash.empty()) {
    body["crash"] = payload.crash;
  }
  return ToCompactJson(body);
}

std::string ToBody(const answer_payload& payload) {
  Json::Value body;
  body["root"] = payload.root;
  body["path"] = payload.path;
  body["vm"] = payload.vm;
  body["padding"] = payload.padding;
  body["checksum"] = Checksum(payload);
  return ToCompactJson(body);
}

std::optional<request_payload> ParseRequestPayload(const std::string& body) {
  const Json::Value value = ParseJson(body);
  if (!value.isObject()) {
    return std::nullopt;
  }
  return request_payload{.root = value["root"].asString(),
                         .path = value["path"].asString(),
                         .crash = value["crash"].asString()};
}

std::optional<answer_payload> ParseAnswerPayload(const std::string& body) {
  const Json::Value value = ParseJson(body);
  if (!value.isObject()) {
    return std::nullopt;
  }
  answer_payload payload{.root = value["root"].asString(),
                         .path = value["path"].asString(),
                         .vm = value["vm"].asString(),
                         .padding = value["padding"].asString()};
  if (value["checksum"].asString() != Checksum(payload)) {
    return std::nullopt;
  }
  return payload;
}

}  // namespace pistachioweir::standin
