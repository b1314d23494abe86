// Tests of the text encoding of keys.
#include "include/once/key_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <stdexcept>
#include <string>

namespace pistachioweir {
namespace {

constexpr key_scope kScope{.service = "contracts", .method = "sign"};

sealed_key SampleKey() {
  return {.key = {.home = {.vm = "vm-7", .incarnation = incarnation_id{42}},
                  .sequence = 1234567},
          .lifetime = milliseconds(30000)};
}

TEST(KeyCodecTest, OpensWhatItSealed) {
  const key_codec codec({"first"});
  EXPECT_EQ(codec.Open(codec.Seal(SampleKey(), kScope), kScope), SampleKey());
}

// A caller sends a key that was issued for an inexpensive method with a
// protected one. If the HMAC did not cover the scope, the home's table would
// hold a key of one method for a request of another.
TEST(KeyCodecTest, IsBoundToServiceAndMethod) {
  const key_codec codec({"first"});
  const std::string text = codec.Seal(SampleKey(), kScope);
  EXPECT_FALSE(codec.Open(text, {.service = "contracts", .method = "list"}));
  EXPECT_FALSE(codec.Open(text, {.service = "billing", .method = "sign"}));
  EXPECT_FALSE(codec.Open(text, {.service = "contractss", .method = "ign"}));
}

// The fleet's key is rotated while callers hold valid keys. Daemons that
// already sign with the new one must still open keys signed with the old one.
TEST(KeyCodecTest, RotatesFleetKeys) {
  const key_codec before({"old"});
  const key_codec during({"new", "old"});
  const key_codec after({"new"});
  const std::string old_text = before.Seal(SampleKey(), kScope);
  const std::string new_text = during.Seal(SampleKey(), kScope);
  EXPECT_TRUE(during.Open(old_text, kScope));
  EXPECT_TRUE(after.Open(new_text, kScope));
  EXPECT_FALSE(after.Open(old_text, kScope));
}

TEST(KeyCodecTest, NeedsAFleetKey) {
  EXPECT_THROW(key_codec({}), std::invalid_argument);
}

// A caller alters one character of a key, or forges one. Every daemon must
// refuse it, or a caller could run under the key of another.
RC_GTEST_PROP(KeyCodecTest, AlteredTextIsRefused, ()) {
  const key_codec codec({"first"});
  std::string text = codec.Seal(SampleKey(), kScope);
  const auto index = *rc::gen::inRange<std::size_t>(0, text.size());
  const char other =
      *rc::gen::suchThat<char>([&](char c) { return c != text[index]; });
  text[index] = other;
  RC_ASSERT(!codec.Open(text, kScope));
}

RC_GTEST_PROP(KeyCodecTest,
              TruncatedOrExtendedTextIsRefused,
              (const std::string& tail)) {
  const key_codec codec({"first"});
  const std::string text = codec.Seal(SampleKey(), kScope);
  const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
  RC_ASSERT(!codec.Open(text.substr(0, size), kScope));
  RC_PRE(!tail.empty());
  RC_ASSERT(!codec.Open(text + tail, kScope));
}

RC_GTEST_PROP(KeyCodecTest, RandomTextIsRefused, (const std::string& text)) {
  const key_codec codec({"first"});
  RC_ASSERT(!codec.Open(text, kScope));
}

RC_GTEST_PROP(KeyCodecTest,
              AnyKeyRoundTrips,
              (const std::string& vm,
               std::uint64_t incarnation,
               std::uint64_t sequence)) {
  RC_PRE(vm.size() <= 255);
  const key_codec codec({"first"});
  const sealed_key key{
      .key = {.home = {.vm = vm, .incarnation = incarnation_id{incarnation}},
              .sequence = sequence},
      .lifetime = milliseconds(1)};
  RC_ASSERT(codec.Open(codec.Seal(key, kScope), kScope) == key);
}

}  // namespace
}  // namespace pistachioweir
