// msgpack_reader: reads one MessagePack array, field by field, from bytes that
// may be anything.
#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace pistachioweir {

// Refers to `bytes`, which have to outlive it. A field that is missing, of
// another type or out of range reads as a zero value and clears ok(), which
// stays cleared; so a caller reads all fields and asks once.
class msgpack_reader {
 public:
  // Expects an array of exactly `fields` entries and nothing after it.
  msgpack_reader(std::string_view bytes, std::uint32_t fields);
  // Expects an array of at most `max` entries and nothing after it.
  [[nodiscard]] static msgpack_reader UpTo(std::string_view bytes,
                                           std::uint32_t max);

  [[nodiscard]] bool ok() const { return ok_; }
  // Entries of the array; zero if it could not be read.
  [[nodiscard]] std::uint32_t size() const;

  std::uint64_t Unsigned();
  std::uint32_t Unsigned32();
  std::uint64_t UnsignedUpTo(std::uint64_t max);
  bool Bool();
  std::string String();
  // Passes over a field of any type.
  void Skip();

 private:
  msgpack_reader() = default;
  void Unpack(std::string_view bytes, std::uint32_t max);

  // The next field, or nullptr with ok() cleared.
  const msgpack::object* Next();

  msgpack::object_handle handle_;
  std::uint32_t next_ = 0;
  bool ok_ = false;
};

}  // namespace pistachioweir
