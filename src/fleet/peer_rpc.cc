// JSON-RPC by libjsonrpccpp; the transport is the daemon's own HTTP.
#include "src/fleet/peer_rpc.h"

#include <json/json.h>
#include <jsonrpccpp/client/batchcall.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>
#include <utility>

#include "src/fleet/platform_documents.h"

namespace pistachioweir {
namespace {

constexpr char kDocument[] = "manifest";
constexpr char kTargets[] = "targets";
// Deeper nesting than any request has.
constexpr int kMaxDepth = 16;
constexpr std::size_t kMaxRequest = 4096;

std::string Request(const std::string& method, const Json::Value& parameters) {
  jsonrpc::BatchCall batch;
  batch.addCall(method, parameters);
  return batch.toString();
}

std::optional<Json::Value> Parse(std::string_view json) {
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  try {
    if (!reader->parse(json.data(), json.data() + json.size(), &root,
                       nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
  return root;
}

// The result of a batch of one.
std::optional<Json::Value> Result(std::string_view answer) {
  const auto root = Parse(answer);
  if (!root || !root->isArray() || root->size() != 1 ||
      !(*root)[0].isObject() || !(*root)[0]["result"].isObject()) {
    return std::nullopt;
  }
  return (*root)[0]["result"];
}

Json::Value ToJson(const fleet_target& target) {
  Json::Value json(Json::objectValue);
  json["vm"] = target.vm;
  json["data_centre"] = target.data_centre;
  json["region"] = target.region;
  json["peer"] = ToString(target.peer);
  const bool leaving = target.state == member_state::kLeaving;
  json["state"] = std::string(kMemberStateNames.Name(
      leaving ? member_state::kLeaving : member_state::kLive));
  return json;
}

}  // namespace

class peer_rpc_server::handler : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit handler(peer_rpc_sources sources)
      : sources_(std::move(sources)),
        protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    protocol_->AddProcedure(jsonrpc::Procedure(
        kDocument, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "service",
        jsonrpc::JSON_STRING, "version", jsonrpc::JSON_INTEGER, nullptr));
    protocol_->AddProcedure(jsonrpc::Procedure(
        kTargets, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "service",
        jsonrpc::JSON_STRING, nullptr));
  }

  std::string Handle(const std::string& request) {
    std::string answer;
    protocol_->HandleRequest(request, answer);
    return answer;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const std::string service = input["service"].asString();
    output = Json::Value(Json::objectValue);
    if (procedure.GetProcedureName() == kTargets) {
      output["vms"] = Json::Value(Json::arrayValue);
      for (const fleet_target& target : sources_.targets(service)) {
        output["vms"].append(ToJson(target));
      }
      return;
    }
    const Json::Value& version = input["version"];
    const auto document = sources_.document(
        {.service = service,
         .version = version.isUInt64() ? version.asUInt64() : 0});
    if (document != nullptr) {
      output["text"] = *document;
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  const peer_rpc_sources sources_;
  const std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
};

peer_rpc_server::peer_rpc_server(peer_rpc_sources sources)
    : handler_(std::make_unique<handler>(std::move(sources))) {}

peer_rpc_server::~peer_rpc_server() = default;

std::string peer_rpc_server::Handle(std::string_view request) {
  // The library parses without a limit on depth or size of its own.
  if (request.size() > kMaxRequest || !Parse(request)) {
    return R"({"id":null,"jsonrpc":"2.0",)"
           R"("error":{"code":-32700,"message":"parse error"}})";
  }
  const std::lock_guard lock(mutex_);
  try {
    return handler_->Handle(std::string(request));
  } catch (const std::exception& error) {
    return R"({"id":null,"jsonrpc":"2.0",)"
           R"("error":{"code":-32600,"message":"invalid request"}})";
  }
}

std::string DocumentRequest(const manifest_version& wanted) {
  Json::Value parameters(Json::objectValue);
  parameters["service"] = wanted.service;
  parameters["version"] = Json::UInt64{wanted.version};
  return Request(kDocument, parameters);
}

std::optional<std::string> ReadDocumentAnswer(std::string_view answer) {
  const auto result = Result(answer);
  if (!result || !(*result)["text"].isString()) {
    return std::nullopt;
  }
  return (*result)["text"].asString();
}

std::string TargetsRequest(const std::string& service) {
  Json::Value parameters(Json::objectValue);
  parameters["service"] = service;
  return Request(kTargets, parameters);
}

std::optional<std::vector<fleet_target>> ReadTargetsAnswer(
    std::string_view answer) {
  const auto result = Result(answer);
  if (!result) {
    return std::nullopt;
  }
  Json::StreamWriterBuilder writer;
  return ParseLiveList(Json::writeString(writer, *result));
}

}  // namespace pistachioweir
