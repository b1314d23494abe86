// Settings of a daemon between a platform's protocols.
#include "include/forward/forward_settings.h"

#include <cmath>
#include <optional>
#include <utility>

#include "src/config/json_document.h"
#include "src/config/json_schema.h"
#include "src/config/value_parsers.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kMaxPlatformAddresses = 8;
constexpr double kMinMemoryMb = 16;
constexpr double kMaxMemoryMb = 1 << 20;
constexpr std::uint64_t kMinDescriptors = 64;
constexpr std::uint64_t kMaxDescriptors = 1 << 24;
constexpr double kMaxStoreCalls = 100000000;
constexpr double kMaxReserve = 1000000;
constexpr double kMaxRatio = 10;

auto ReadDuration(milliseconds forward_settings::*member) {
  return ReadWith(member, ParseDuration);
}

auto ReadFraction(double forward_settings::*member, double min, double max) {
  return ReadWith(member, [min, max](const json_node& node) {
    return ParseFraction(node, min, max);
  });
}

// One of the names of `names`; `choices` lists them for the error.
template <typename Enum, std::size_t kCount>
auto ReadName(Enum forward_settings::*member,
              const enum_table<Enum, kCount>& names,
              std::string_view choices) {
  return ReadWith(
      member, [&names, choices](const json_node& node) -> std::optional<Enum> {
        const auto text = node.ReadString();
        if (!text) {
          return std::nullopt;
        }
        const auto value = names.Find(*text);
        if (!value) {
          node.AddError(node.Describe(), std::string(choices));
        }
        return value;
      });
}

json_schema<forward_settings> Schema() {
  using s = forward_settings;
  using enum presence;
  return {
      {"vm", kRequired, ReadWith(&s::vm, ParseName)},
      {"service", kRequired, ReadWith(&s::service, ParseName)},
      {"data_centre", kRequired, ReadWith(&s::data_centre, ParseName)},
      {"caller", kRequired, ReadWith(&s::caller, ParseEndpoint)},
      {"peer", kRequired, ReadWith(&s::peer, ParseEndpoint)},
      {"ready", kRequired, ReadWith(&s::ready, ParseEndpoint)},
      {"admin", kRequired, ReadWith(&s::admin, ParseEndpoint)},
      {"target", kRequired, ReadWith(&s::target, ParseEndpoint)},
      {"platform", kRequired,
       ReadList(&s::platform, 1, kMaxPlatformAddresses, ParseEndpoint)},
      {"memory_mb", kOptional,
       ReadFraction(&s::memory_mb, kMinMemoryMb, kMaxMemoryMb)},
      {"max_descriptors", kOptional,
       ReadNumber(&s::max_descriptors, kMinDescriptors, kMaxDescriptors)},
      {"stop_timeout", kOptional, ReadDuration(&s::stop_timeout)},
      {"store_calls_per_second", kOptional,
       ReadFraction(&s::store_calls_per_second, 0, kMaxStoreCalls)},
      {"store_readers", kOptional,
       ReadName(&s::store_readers, kReaderPolicyNames, "few or all")},
      {"key_withdrawal", kOptional, ReadDuration(&s::key_withdrawal)},
      {"quota_overage", kOptional,
       ReadFraction(&s::quota_overage, 0, kMaxRatio)},
      {"call_lineage", kOptional,
       ReadName(&s::call_lineage, kLineagePolicyNames,
                "off, deadline or request_id")},
      {"entrance", kOptional,
       ReadName(&s::entrance, kEntrancePolicyNames, "results or cost")},
      {"repeat_budget", kOptional,
       ReadName(&s::repeat_sharing, kRepeatSharingPolicyNames,
                "local or shared")},
      {"repeat_ratio", kOptional, ReadFraction(&s::repeat_ratio, 0, kMaxRatio)},
      {"repeat_reserve", kOptional,
       ReadFraction(&s::repeat_reserve, 0, kMaxReserve)},
      {"repeat_window", kOptional, ReadDuration(&s::repeat_window)},
  };
}

}  // namespace

parse_result<forward_settings> ParseForwardSettings(std::string_view json,
                                                    std::string_view origin) {
  parse_result<forward_settings> result;
  const json_document document = ParseJson(json, origin);
  result.errors = document.errors;
  if (!document.readable) {
    return result;
  }
  const json_node root(document.root, std::string(origin) + ": ",
                       &result.errors);
  Schema().Read(root, &result.value);
  if (result.value.entrance == entrance_policy::kCost &&
      result.value.call_lineage == lineage_policy::kOff) {
    root.Member("entrance")
        .AddError("cost without call_lineage", "call_lineage, or results");
  }
  return result;
}

}  // namespace pistachioweir
