// Changes of the store as a frame: what is written can be read, and nothing
// else can.
#include "src/peer/changes_frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <string>

#include "src/peer/peer_frame.h"

namespace pistachioweir {
namespace {

view_changes Changes(std::uint64_t after, std::size_t entries) {
  view_changes changes{.after = after,
                       .revision = after + entries,
                       .read_ago = milliseconds(1500),
                       .returned_ago = milliseconds(0)};
  for (std::size_t i = 0; i < entries; ++i) {
    changes.entries.push_back({.key = "key-" + std::to_string(i),
                               .value = std::string(i, '\xff'),
                               .created = after + 1,
                               .revision = after + 1 + i,
                               .removed = i % 2 == 1});
  }
  return changes;
}

std::string PayloadOf(const std::string& frame) {
  frame_view read;
  EXPECT_EQ(NextFrame(frame, frame.size(), &read), frame_state::kWhole);
  EXPECT_EQ(read.kind, frame_kind::kChanges);
  return std::string(read.payload);
}

TEST(ChangesFrameTest, IsReadAsItWasWritten) {
  const view_changes changes = Changes(98, 5);
  const auto read = DecodeChanges(PayloadOf(Encode(changes)));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->after, 98U);
  EXPECT_EQ(read->revision, 103U);
  EXPECT_EQ(read->read_ago, milliseconds(1500));
  EXPECT_EQ(read->returned_ago, milliseconds(0));
  EXPECT_EQ(read->entries, changes.entries);
}

TEST(ChangesFrameTest, TellsThatTheStoreWasNotAway) {
  view_changes changes = Changes(0, 1);
  changes.returned_ago.reset();
  const auto read = DecodeChanges(PayloadOf(Encode(changes)));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->returned_ago, std::nullopt);
}

// A daemon that knows of nothing has nothing to tell; bytes that say so come
// from something that isn't right.
TEST(ChangesFrameTest, ChangesThatEndBeforeTheyBeginAreRefused) {
  EXPECT_FALSE(DecodeChanges(PayloadOf(Encode(Changes(7, 0)))).has_value());
}

TEST(ChangesFrameTest, CutShortOrWithMoreBehindItIsRefused) {
  const std::string payload = PayloadOf(Encode(Changes(5, 3)));
  for (std::size_t length = 0; length < payload.size(); ++length) {
    EXPECT_FALSE(DecodeChanges(payload.substr(0, length)).has_value())
        << length;
  }
  EXPECT_FALSE(DecodeChanges(payload + '\0').has_value());
}

// One byte of the frame is changed on the way: it is refused or read as
// something whole, and never more than its bytes can hold.
RC_GTEST_PROP(ChangesFrameTest, AnyBytesAreReadOrRefused, ()) {
  std::string payload = PayloadOf(Encode(Changes(5, 3)));
  const auto place = *rc::gen::inRange<std::size_t>(0, payload.size());
  payload[place] = *rc::gen::arbitrary<char>();
  const auto read = DecodeChanges(payload);
  if (read) {
    RC_ASSERT(read->revision > read->after);
    RC_ASSERT(read->entries.size() <= payload.size());
  }
}

}  // namespace
}  // namespace pistachioweir
