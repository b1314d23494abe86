// Codec of views.
//
// The frame's array is flat: each list is its length and then its entries'
// fields, one after the other.
#include "src/peer/view_frame.h"

#include <cassert>
#include <memory>
#include <utility>
#include <vector>

#include "include/call/msgpack_reader.h"
#include "src/peer/frame_writer.h"

namespace pistachioweir {
namespace {

// Of 14,000 targets and as many routes, several times over.
constexpr std::uint32_t kMaxFields = 4'000'000;
constexpr std::uint32_t kMaxPort = 65535;
constexpr milliseconds kMaxTime = std::chrono::hours(24 * 365);
// Of revision, age, version of targets, configuration's version and limits.
constexpr std::size_t kFixedFields = 8;
constexpr std::size_t kServiceFields = 2;
constexpr std::size_t kRouteFields = 9;  // The parts' count is the last.
constexpr std::size_t kPartFields = 2;
constexpr std::size_t kTargetFields = 9;
constexpr std::size_t kLists = 3;

std::uint32_t FieldsOf(const service_view& view) {
  std::size_t fields = kFixedFields + kLists +
                       kServiceFields * view.config->services.size() +
                       kTargetFields * view.targets.size();
  for (const route& each : view.config->routes.routes()) {
    fields += kRouteFields + kPartFields * each.parts.size();
  }
  return static_cast<std::uint32_t>(fields);
}

template <typename List>
void PutCount(const List& list, frame_writer* writer) {
  writer->Put(static_cast<std::uint64_t>(list.size()));
}

void PutRoute(const route& each, frame_writer* writer) {
  writer->Put(each.name)
      .Put(each.host)
      .Put(each.prefix)
      .Put(static_cast<std::uint32_t>(each.repeats))
      .Put(each.timeout)
      .Put(each.latency_objective)
      .Put(each.max_targets)
      .Put(each.rank);
  PutCount(each.parts, writer);
  for (const route_part& part : each.parts) {
    writer->Put(part.service).Put(part.weight);
  }
}

void PutTarget(const target_entry& each, frame_writer* writer) {
  writer->Put(each.id)
      .Put(static_cast<std::uint64_t>(each.start))
      .Put(each.service)
      .Put(each.address.ip)
      .Put(static_cast<std::uint32_t>(each.address.port))
      .Put(each.data_centre)
      .Put(each.slots)
      .Put(static_cast<std::uint32_t>(each.state))
      .Put(each.warm_up_left);
}

milliseconds ReadTime(msgpack_reader& reader) {
  return milliseconds(
      reader.UnsignedUpTo(static_cast<std::uint64_t>(kMaxTime.count())));
}

// Entries that the rest of the array can have at most, so that a count that
// isn't true ends the reading and takes no memory.
std::uint64_t ReadCount(msgpack_reader& reader) {
  return reader.UnsignedUpTo(reader.size());
}

route ReadRoute(msgpack_reader& reader, bool* ok) {
  route each;
  each.name = reader.String();
  each.host = reader.String();
  each.prefix = reader.String();
  const auto repeats =
      decltype(kRepeatPolicyNames)::FromNumber(reader.Unsigned32());
  each.repeats = repeats.value_or(repeat_policy::kAtMostOnce);
  each.timeout = ReadTime(reader);
  each.latency_objective = ReadTime(reader);
  each.max_targets = reader.Unsigned32();
  each.rank = reader.Unsigned32();
  for (std::uint64_t left = ReadCount(reader); left > 0 && reader.ok();
       --left) {
    route_part part;
    part.service = reader.String();
    part.weight = reader.Unsigned32();
    each.parts.push_back(std::move(part));
  }
  *ok = *ok && reader.ok() && repeats.has_value();
  return each;
}

target_entry ReadTarget(msgpack_reader& reader, bool* ok) {
  target_entry each;
  each.id = reader.String();
  each.start = incarnation_id{reader.Unsigned()};
  each.service = reader.String();
  each.address.ip = reader.String();
  each.address.port = static_cast<std::uint16_t>(reader.UnsignedUpTo(kMaxPort));
  each.data_centre = reader.String();
  each.slots = reader.Unsigned32();
  const auto state =
      decltype(kTargetStateNames)::FromNumber(reader.Unsigned32());
  each.state = state.value_or(target_state::kLeaving);
  each.warm_up_left = ReadTime(reader);
  *ok = *ok && reader.ok() && state.has_value();
  return each;
}

std::shared_ptr<const service_config> ReadConfig(msgpack_reader& reader) {
  auto config = std::make_shared<service_config>();
  config->version = reader.Unsigned();
  config->limits.max_head_bytes = reader.Unsigned();
  config->limits.max_body_bytes = reader.Unsigned();
  config->limits.head_timeout = ReadTime(reader);
  config->limits.idle_timeout = ReadTime(reader);
  for (std::uint64_t left = ReadCount(reader); left > 0 && reader.ok();
       --left) {
    const std::string name = reader.String();
    config->services[name].max_connections = reader.Unsigned32();
  }
  bool ok = true;
  std::vector<route> routes;
  for (std::uint64_t left = ReadCount(reader); left > 0 && ok; --left) {
    routes.push_back(ReadRoute(reader, &ok));
  }
  std::string problem;
  auto table = route_table::Make(std::move(routes), &problem);
  if (!ok || !reader.ok() || !table) {
    return nullptr;
  }
  config->routes = *std::move(table);
  return config;
}

}  // namespace

std::string Encode(const told_view& told) {
  const service_view& view = *told.view;
  assert(view.config != nullptr);
  const service_config& config = *view.config;
  frame_writer writer(FieldsOf(view));
  writer.Put(told.revision)
      .Put(told.age)
      .Put(view.targets_version)
      .Put(config.version)
      .Put(static_cast<std::uint64_t>(config.limits.max_head_bytes))
      .Put(static_cast<std::uint64_t>(config.limits.max_body_bytes))
      .Put(config.limits.head_timeout)
      .Put(config.limits.idle_timeout);
  PutCount(config.services, &writer);
  for (const auto& [name, service] : config.services) {
    writer.Put(name).Put(service.max_connections);
  }
  PutCount(config.routes.routes(), &writer);
  for (const route& each : config.routes.routes()) {
    PutRoute(each, &writer);
  }
  PutCount(view.targets, &writer);
  for (const target_entry& each : view.targets) {
    PutTarget(each, &writer);
  }
  return writer.Finish(frame_kind::kView);
}

std::optional<told_view> DecodeView(std::string_view payload) {
  auto reader = msgpack_reader::UpTo(payload, kMaxFields);
  told_view told;
  told.revision = reader.Unsigned();
  told.age = ReadTime(reader);
  auto view = std::make_shared<service_view>();
  view->targets_version = reader.Unsigned();
  view->config = ReadConfig(reader);
  bool ok = view->config != nullptr;
  for (std::uint64_t left = ok ? ReadCount(reader) : 0; left > 0 && ok;
       --left) {
    view->targets.push_back(ReadTarget(reader, &ok));
  }
  if (!ok || !reader.ok() || told.revision == 0 ||
      reader.size() != FieldsOf(*view)) {
    return std::nullopt;
  }
  told.view = std::move(view);
  return told;
}

}  // namespace pistachioweir
