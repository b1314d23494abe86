// Processes, ports and files of a fleet.
#include "standin/fleet.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "standin/own_ip.h"
#include "standin/payload.h"
#include "standin/record_file.h"

namespace pistachioweir::standin {
namespace {

constexpr std::uint32_t kFirstPort = 20000;
constexpr std::uint32_t kPortsOfVm = 10;
constexpr std::uint16_t kPlatformPort = 19000;
constexpr std::uint16_t kPlatformControlPort = 19001;
constexpr milliseconds kPollInterval(50);
constexpr milliseconds kControlTimeout(10000);

// Ports of one VM, counted from its first.
enum port : std::uint32_t {
  kCaller,
  kLocal,
  kPeer,
  kAdmin,
  kTarget,
  kControl,
  kAdvertised
};

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "pistachioweir-XXXXXX")
          .string();
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("can't make " + path);
  }
  return path;
}

// The service's first method that may run more than once.
std::string ProbeMethod(const Json::Value& manifest) {
  for (const Json::Value& method : manifest["methods"]) {
    if (!method["at_most_once"].asBool()) {
      return method["name"].asString();
    }
  }
  return {};
}

}  // namespace

struct fleet::vm_entry {
  std::string name;
  std::string service;
  std::uint32_t number = 0;  // Over the whole fleet; gives the ports.
  std::string data_centre;
  live_state state = live_state::kLive;
  std::unique_ptr<child_process> daemon;
  std::unique_ptr<child_process> target;
};

fleet::fleet(fleet_plan plan)
    : plan_(std::move(plan)),
      folder_(plan_.folder.empty() ? MakeFolder() : plan_.folder),
      ip_(OwnIp()) {
  std::filesystem::create_directories(folder_);
  work_ = ParseJson(ReadFile(plan_.documents + "/work.json"));
  for (const auto& file :
       std::filesystem::directory_iterator(plan_.documents + "/manifest")) {
    const std::string service = file.path().stem().string();
    manifests_[service] = ParseJson(ReadFile(file.path().string()));
    WriteTargetConfig(service);
  }
  if (plan_.forward) {
    links_ = std::make_unique<forwarder>([this](const std::string& vm) {
      const std::lock_guard lock(pids_mutex_);
      return pids_[vm];
    });
  }
  for (const auto& [service, manifest] : manifests_) {
    for (std::uint32_t i = 0; i < plan_.vms; ++i) {
      Add(service);
    }
  }
}

fleet::~fleet() {
  links_.reset();
  vms_.clear();
  platform_.reset();
  if (plan_.folder.empty() && std::getenv("PW_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

bool fleet::Start(milliseconds limit) {
  StartPlatform();
  for (const auto& [service, manifest] : manifests_) {
    Control(PlatformControl(), "/documents/manifest/" + service,
            ToCompactJson(manifest));
    PublishList(service);
  }
  for (const auto& [name, vm] : vms_) {
    StartTarget(name);
    StartDaemon(name);
  }
  return WaitServing(Vms(), limit);
}

bool fleet::WaitServing(const std::vector<std::string>& vms,
                        milliseconds limit) {
  const time_point end = monotonic_clock::now() + limit;
  for (const std::string& vm : vms) {
    while (!Serves(vm)) {
      if (monotonic_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return true;
}

std::vector<std::string> fleet::Vms() const {
  std::vector<std::string> names;
  for (const auto& [name, vm] : vms_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> fleet::VmsOf(const std::string& service) const {
  std::vector<std::string> names;
  for (const auto& [name, vm] : vms_) {
    if (vm->service == service && vm->state != live_state::kGone) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<endpoint> fleet::CallersOf(const std::string& service) const {
  std::vector<endpoint> callers;
  for (const std::string& vm : VmsOf(service)) {
    callers.push_back(CallerOf(vm));
  }
  return callers;
}

endpoint fleet::CallerOf(const std::string& vm) const {
  return Address(Find(vm).number, kCaller);
}

endpoint fleet::TargetOf(const std::string& vm) const {
  return Address(Find(vm).number, kTarget);
}

endpoint fleet::AdminOf(const std::string& vm) const {
  return Address(Find(vm).number, kAdmin);
}

endpoint fleet::PeerOf(const std::string& vm) const {
  return Address(Find(vm).number, plan_.forward ? kAdvertised : kPeer);
}

child_process& fleet::daemon(const std::string& vm) {
  return *Find(vm).daemon;
}

child_process& fleet::target(const std::string& vm) {
  return *Find(vm).target;
}

void fleet::StartDaemon(const std::string& name) {
  vm_entry& vm = Find(name);
  WriteSettings(vm);
  vm.daemon.reset();
  vm.daemon = std::make_unique<child_process>(
      std::vector<std::string>{plan_.programs + "/pistachioweir", "run",
                               "--settings",
                               folder_ + "/" + name + ".settings.json"},
      LogOf(name));
  const std::lock_guard lock(pids_mutex_);
  pids_[name] = vm.daemon->pid();
}

void fleet::StartTarget(const std::string& name) {
  vm_entry& vm = Find(name);
  vm.target.reset();
  vm.target = std::make_unique<child_process>(
      std::vector<std::string>{
          plan_.programs + "/pw-target", "--vm", name, "--service", vm.service,
          "--listen", Authority(Address(vm.number, kTarget)), "--control",
          Authority(Address(vm.number, kControl)), "--local",
          Authority(Address(vm.number, kLocal)), "--config",
          folder_ + "/" + vm.service + ".target.json", "--records", records(),
          "--seed", std::to_string(vm.number + 1)},
      folder_ + "/" + name + ".target.log");
}

std::string fleet::AddVm(const std::string& service) {
  std::string name = Add(service).name;
  PublishList(service);
  StartTarget(name);
  StartDaemon(name);
  return name;
}

void fleet::Configure(const std::string& vm, const Json::Value& changes) {
  Control(Address(Find(vm).number, kControl), "/config",
          ToCompactJson(changes));
}

void fleet::Publish(const std::string& vm, live_state state) {
  vm_entry& entry = Find(vm);
  entry.state = state;
  PublishList(entry.service);
}

bool fleet::IsPublished(const std::string& vm) const {
  return Find(vm).state != live_state::kGone;
}

std::uint64_t fleet::ChangeManifest(const std::string& service,
                                    const Json::Value& changes) {
  Json::Value& manifest = manifests_.at(service);
  for (const std::string& name : changes.getMemberNames()) {
    manifest[name] = changes[name];
  }
  manifest["version"] = manifest["version"].asUInt64() + 1;
  Control(PlatformControl(), "/documents/manifest/" + service,
          ToCompactJson(manifest));
  return manifest["version"].asUInt64();
}

void fleet::SetPlatform(const std::string& mode) {
  Control(PlatformControl(), "/mode/" + mode, "");
}

Json::Value fleet::PlatformCounts() const {
  return ParseJson(
      SendAndWait(PlatformControl(), {.target = "/counts"}, kControlTimeout)
          .response.body);
}

Json::Value fleet::Admin(const std::string& vm, const std::string& path) const {
  const http_result result =
      SendAndWait(AdminOf(vm), {.target = path}, milliseconds(2000));
  return result.failure == http_failure::kNone ? ParseJson(result.response.body)
                                               : Json::Value();
}

std::uint64_t fleet::VersionAt(const std::string& vm,
                               const std::string& service) const {
  const Json::Value status = Admin(vm, "/status");
  for (const Json::Value& held : status["manifests"]) {
    if (held["service"].asString() == service) {
      return held["version"].asUInt64();
    }
  }
  return 0;
}

std::string fleet::LogOf(const std::string& vm) const {
  return folder_ + "/" + vm + ".log";
}

fleet::vm_entry& fleet::Find(const std::string& vm) {
  return *vms_.at(vm);
}

const fleet::vm_entry& fleet::Find(const std::string& vm) const {
  return *vms_.at(vm);
}

fleet::vm_entry& fleet::Add(const std::string& service) {
  std::uint32_t count = 1;
  while (vms_.contains(service + "-" + std::to_string(count))) {
    ++count;
  }
  auto vm = std::make_unique<vm_entry>();
  vm->name = service + "-" + std::to_string(count);
  vm->service = service;
  vm->number = next_vm_++;
  vm->data_centre = "waw-" + std::to_string((count - 1) % 3 + 1);
  if (links_) {
    links_->Add({.vm = vm->name,
                 .advertised = Address(vm->number, kAdvertised),
                 .actual = Address(vm->number, kPeer)});
  }
  const std::string name = vm->name;
  return *(vms_[name] = std::move(vm));
}

endpoint fleet::Address(std::uint32_t vm, std::uint32_t port) const {
  return {
      .ip = ip_,
      .port = static_cast<std::uint16_t>(kFirstPort + kPortsOfVm * vm + port)};
}

endpoint fleet::PlatformAddress() const {
  return {.ip = ip_, .port = kPlatformPort};
}

endpoint fleet::PlatformControl() const {
  return {.ip = ip_, .port = kPlatformControlPort};
}

void fleet::WriteSettings(const vm_entry& vm) const {
  Json::Value settings;
  settings["vm"] = vm.name;
  settings["service"] = vm.service;
  settings["data_centre"] = vm.data_centre;
  settings["region"] = "pl";
  settings["caller"] = Authority(Address(vm.number, kCaller));
  settings["local"] = Authority(Address(vm.number, kLocal));
  settings["peer"] = Authority(Address(vm.number, kPeer));
  settings["admin"] = Authority(Address(vm.number, kAdmin));
  settings["target"] = Authority(Address(vm.number, kTarget));
  settings["platform"].append(Authority(PlatformAddress()));
  settings["fleet_keys"].append("a key for stand-ins only");
  if (plan_.forward) {
    settings["advertised_peer"] = Authority(Address(vm.number, kAdvertised));
  }
  WriteFile(folder_ + "/" + vm.name + ".settings.json",
            ToCompactJson(settings));
}

void fleet::WriteTargetConfig(const std::string& service) const {
  const Json::Value& manifest = manifests_.at(service);
  Json::Value config;
  config["slots"] = manifest["slots"];
  for (const Json::Value& method : manifest["methods"]) {
    const std::string name = method["name"].asString();
    Json::Value& made = config["methods"][name];
    made["mean_ms"] = work_[service][name];
    made["at_most_once"] = method.get("at_most_once", false);
    made["calls"] = method.get("calls", Json::Value(Json::arrayValue));
  }
  WriteFile(folder_ + "/" + service + ".target.json", ToCompactJson(config));
}

void fleet::PublishList(const std::string& service) {
  Json::Value list;
  list["vms"] = Json::Value(Json::arrayValue);
  for (const auto& [name, vm] : vms_) {
    if (vm->service != service || vm->state == live_state::kGone) {
      continue;
    }
    Json::Value entry;
    entry["vm"] = name;
    entry["data_centre"] = vm->data_centre;
    entry["region"] = "pl";
    entry["peer"] = Authority(PeerOf(name));
    entry["caller"] = Authority(CallerOf(name));
    entry["state"] = vm->state == live_state::kLive ? "live" : "leaving";
    list["vms"].append(entry);
  }
  Control(PlatformControl(), "/documents/live/" + service, ToCompactJson(list));
}

void fleet::StartPlatform() {
  const endpoint control = PlatformControl();
  platform_ = std::make_unique<child_process>(
      std::vector<std::string>{plan_.programs + "/pw-platform", "--listen",
                               Authority(PlatformAddress()), "--control",
                               Authority(control), "--records", records()},
      folder_ + "/platform.log");
  while (SendAndWait(control, {.target = "/counts"}).failure !=
         http_failure::kNone) {
    if (platform_->Wait(kPollInterval)) {
      throw std::runtime_error("the platform's stand-in ended: " +
                               ReadFile(folder_ + "/platform.log"));
    }
  }
}

void fleet::Control(const endpoint& port,
                    const std::string& path,
                    const std::string& body) const {
  const time_point end = monotonic_clock::now() + kControlTimeout;
  while (monotonic_clock::now() < end) {
    const http_result result = SendAndWait(
        port, {.method = "PUT", .target = path, .body = body}, kControlTimeout);
    if (result.failure == http_failure::kNone &&
        result.response.status == 200) {
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error("no answer of a stand-in to " + path);
}

bool fleet::Serves(const std::string& name) const {
  const vm_entry& vm = Find(name);
  const std::string method = ProbeMethod(manifests_.at(vm.service));
  const http_result result = SendAndWait(
      CallerOf(name),
      {.method = "POST",
       .target = "/" + vm.service + "/" + method,
       .headers = {{"Pw-Timeout-Ms", "1000"},
                   {"Content-Type", "application/json"}},
       .body = ToBody(request_payload{
           .root = "probe-" + name + std::to_string(WallMicroseconds()),
           .path = vm.service + "." + method})},
      milliseconds(2000));
  return result.failure == http_failure::kNone && result.response.status == 200;
}

}  // namespace pistachioweir::standin
