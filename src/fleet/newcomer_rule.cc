// Evidence that a newcomer has gathered.
#include "include/fleet/newcomer_rule.h"

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
  if (known_.size() < kMaxReplies) {
    known_.insert(situation.digest);
  }
  // Guards NEWCOMER and NEWCOMER_HISTORY in spec/manifest_versions.pml. A
  // peer's answer counts once this daemon knows all that the peer knows.
  std::size_t agreeing = 0;
  std::size_t with_history = 0;
  for (const auto& [vm, answer] : replies_) {
    with_history += answer.has_history ? 1 : 0;
    agreeing += answer.has_history && known_.contains(answer.digest) ? 1 : 0;
  }
  // One peer that knows more is enough to wait: just after a change most don't
  // know of it yet, and the VM may have had the newer manifest in force before
  // it restarted.
  const bool enough = agreeing >= kEnough || replies_.size() >= situation.peers;
  if (enough && agreeing == with_history) {
    return true;
  }
  const seconds patience = agreeing < with_history ? kDisagreement : kPatience;
  return now - *asked_since_ >= patience;
}

}  // namespace pistachioweir
