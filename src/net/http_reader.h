// http_reader: takes HTTP/1.1 messages out of a stream of bytes, without any
// input or output of its own.
//
// Framing that two readers could understand in two ways is refused (a length
// together with chunks, two lengths, bare line feeds, codings other than chunks
// alone): a request hidden in another one's body would reach a target that
// nobody meant to ask. An answer whose status is none, or 101, is refused: no
// request asks for another protocol. A folded line is read as one with a blank
// in place of the fold (RFC 9112, section 5.2); HTTP/1.0 is read, and closes
// its connection unless it says otherwise.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/enum_table.h"
#include "src/net/http_message.h"
#include "src/net/relayed_message.h"

namespace pistachioweir {

enum class read_state : std::uint8_t { kMore, kDone, kFailed };

// Why a message can't be read.
enum class read_problem : std::uint8_t {
  kNone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  // More than a head's length between the bytes of a body in chunks.
  kFramingTooLarge,
  kNoRoom,    // The reader's owner has no memory for the body.
  kUnproven,  // Whole, but refused by the protocol of the reader's owner.
};

inline constexpr enum_table<read_problem, 7> kReadProblemNames(
    {"none", "malformed", "head_too_large", "body_too_large",
     "framing_too_large", "no_room", "unproven"});

// A reader leaves untaken at most max_head_bytes beyond what one Feed() adds,
// and takes at most a fixed multiple of max_body_bytes, whatever part of the
// message has no end.
struct read_limits {
  // Also of the framing of a body in chunks: sizes, extensions and trailers.
  std::size_t max_head_bytes = 16384;
  std::size_t max_body_bytes = 1 << 20;
};

// A request with its headers told apart.
struct read_request {
  std::string verb;
  std::string target;
  http_headers headers;  // End-to-end ones, as they came.
  std::string body;
  bool keep_alive = true;
};

struct read_response {
  int status = 0;
  http_headers headers;           // End-to-end ones, as they came.
  std::string keep_alive_header;  // Value of Keep-Alive, if there is one.
  std::string body;
  bool keep_alive = true;  // Another request may be sent on the connection.
};

// One message. Feed it bytes until it is done; bytes behind the message are
// left for the next reader.
class request_reader {
 public:
  explicit request_reader(const read_limits& limits);
  ~request_reader();
  request_reader(request_reader&&) noexcept;
  request_reader& operator=(request_reader&&) noexcept;

  // Takes from the front of `bytes` and tells how many. Bytes of an unfinished
  // head are not taken: they must be there again, with more behind them.
  read_state Feed(std::string_view bytes, std::size_t* taken);

  [[nodiscard]] read_problem problem() const;
  // The head is complete.
  [[nodiscard]] bool has_head() const;
  // Bytes that the body takes: announced, or else read so far. Zero before the
  // head is complete.
  [[nodiscard]] std::size_t body_bytes() const;
  // The client waits for "100 Continue" before it sends the body.
  [[nodiscard]] bool expects_continue() const;
  // Once, after kDone.
  [[nodiscard]] read_request Take();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

class response_reader {
 public:
  // An answer to HEAD has no body whatever its headers say.
  response_reader(const read_limits& limits, bool to_head);
  ~response_reader();
  response_reader(response_reader&&) noexcept;
  response_reader& operator=(response_reader&&) noexcept;

  read_state Feed(std::string_view bytes, std::size_t* taken);
  // The stream has ended in good order. kDone if the message may end so.
  read_state FeedEnd();
  [[nodiscard]] read_problem problem() const;
  // As for requests.
  [[nodiscard]] std::size_t body_bytes() const;
  // Bytes of the message have come.
  [[nodiscard]] bool begun() const;
  // Once, after kDone.
  [[nodiscard]] read_response Take();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// Head of a message in front of its body, with a Content-Length where one may
// stand. A response to HEAD has no body, and its length isn't known.
[[nodiscard]] std::string RequestHead(const relayed_request& request,
                                      std::string_view more_headers);
[[nodiscard]] std::string ResponseHead(int status,
                                       std::string_view header_block,
                                       std::optional<std::size_t> body_bytes,
                                       bool keep_alive);

// Headers as one block of text.
[[nodiscard]] std::string ToBlock(const http_headers& headers);

}  // namespace pistachioweir
