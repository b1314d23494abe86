// Evidence that a newcomer has gathered.
#include "include/fleet/newcomer_rule.h"

#include <algorithm>

namespace pistachioweir {
namespace {

// More answers than this are no better evidence; bounds the memory.
constexpr std::size_t kMaxReplies = 64;

}  // namespace

void newcomer_rule::NoteReply(const vm_id& vm,
                              bool has_history,
                              std::uint64_t digest) {
  if (replies_.size() < kMaxReplies || replies_.contains(vm)) {
    replies_[vm] = {.has_history = has_history, .digest = digest};
  }
}

bool newcomer_rule::Decide(const newcomer_situation& situation,
                           time_point now) {
  if (!situation.peers_known) {
    return false;
  }
  if (!asked_since_) {
    asked_since_ = now;
  }
  if (!situation.documents_complete) {
    return false;
  }
  // Guards NEWCOMER and NEWCOMER_HISTORY in spec/manifest_versions.pml. A
  // peer's answer counts once this daemon knows all that the peer knows.
  const auto agreeing = static_cast<std::size_t>(
      std::ranges::count_if(replies_, [&](const auto& item) {
        return item.second.has_history &&
               item.second.digest == situation.digest;
      }));
  const auto with_history = static_cast<std::size_t>(std::ranges::count_if(
      replies_, [](const auto& item) { return item.second.has_history; }));
  if (agreeing >= kEnough) {
    return true;
  }
  const bool all_answered = replies_.size() >= situation.peers;
  if (all_answered && agreeing == with_history) {
    return true;
  }
  const seconds patience = agreeing < with_history ? kDisagreement : kPatience;
  return now - *asked_since_ >= patience;
}

}  // namespace pistachioweir
