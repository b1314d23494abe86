// Checked reading of MessagePack; the library's exceptions end here.
#include "include/call/msgpack_reader.h"

#include <exception>
#include <limits>

namespace pistachioweir {

msgpack_reader::msgpack_reader(std::string_view bytes, std::uint32_t fields) {
  Unpack(bytes, fields);
  ok_ = ok_ && size() == fields;
}

msgpack_reader msgpack_reader::UpTo(std::string_view bytes, std::uint32_t max) {
  msgpack_reader reader;
  reader.Unpack(bytes, max);
  return reader;
}

void msgpack_reader::Unpack(std::string_view bytes, std::uint32_t max) {
  // Bounds what a hostile message can make the library allocate: no value is
  // larger than the message itself.
  const msgpack::unpack_limit limit(max, 0, bytes.size(), bytes.size(), 0, 2);
  try {
    std::size_t offset = 0;
    const auto refer = [](msgpack::type::object_type, std::size_t, void*) {
      return true;
    };
    handle_ = msgpack::unpack(bytes.data(), bytes.size(), offset, refer,
                              nullptr, limit);
    ok_ = offset == bytes.size() && handle_.get().type == msgpack::type::ARRAY;
  } catch (const std::exception&) {
    ok_ = false;
  }
}

std::uint32_t msgpack_reader::size() const {
  return ok_ ? handle_.get().via.array.size : 0;
}

const msgpack::object* msgpack_reader::Next() {
  if (!ok_ || next_ >= handle_.get().via.array.size) {
    ok_ = false;
    return nullptr;
  }
  return &handle_.get().via.array.ptr[next_++];
}

std::uint64_t msgpack_reader::Unsigned() {
  const msgpack::object* field = Next();
  if (field == nullptr || field->type != msgpack::type::POSITIVE_INTEGER) {
    ok_ = false;
    return 0;
  }
  return field->via.u64;
}

std::uint64_t msgpack_reader::UnsignedUpTo(std::uint64_t max) {
  const std::uint64_t value = Unsigned();
  if (value > max) {
    ok_ = false;
    return 0;
  }
  return value;
}

std::uint32_t msgpack_reader::Unsigned32() {
  return static_cast<std::uint32_t>(
      UnsignedUpTo(std::numeric_limits<std::uint32_t>::max()));
}

bool msgpack_reader::Bool() {
  const msgpack::object* field = Next();
  if (field == nullptr || field->type != msgpack::type::BOOLEAN) {
    ok_ = false;
    return false;
  }
  return field->via.boolean;
}

std::string msgpack_reader::String() {
  const msgpack::object* field = Next();
  if (field == nullptr || field->type != msgpack::type::STR) {
    ok_ = false;
    return {};
  }
  return {field->via.str.ptr, field->via.str.size};
}

void msgpack_reader::Skip() {
  Next();
}

}  // namespace pistachioweir
