// Reading by Beast's parsers, writing of heads.
#include "src/net/http_reader.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

#include "src/net/http_framing.h"

namespace pistachioweir {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Headers that concern one connection only, besides those that Connection
// names. The length is set anew from the body.
constexpr std::array<std::string_view, 10> kHopByHop{
    "Connection",     "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",        "Transfer-Encoding", "Upgrade",          "Expect",
    "Content-Length", "Proxy-Authenticate"};

std::string ToString(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

bool Equals(boost::beast::string_view a, std::string_view b) {
  return boost::beast::iequals(a,
                               boost::beast::string_view(b.data(), b.size()));
}

template <typename Fields>
bool IsHopByHop(const Fields& fields, boost::beast::string_view name) {
  if (std::ranges::any_of(
          kHopByHop, [&](std::string_view hop) { return Equals(name, hop); })) {
    return true;
  }
  const auto named = fields[http::field::connection];
  return !named.empty() && http::token_list(named).exists(name);
}

template <typename Fields>
http_headers EndToEnd(const Fields& fields) {
  http_headers kept;
  for (const auto& field : fields) {
    if (!IsHopByHop(fields, field.name_string())) {
      kept.push_back({.name = ToString(field.name_string()),
                      .value = ToString(field.value())});
    }
  }
  return kept;
}

read_problem ProblemOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return read_problem::kHeadTooLarge;
  }
  if (error == http::error::body_limit) {
    return read_problem::kBodyTooLarge;
  }
  return read_problem::kMalformed;
}

// Framing bytes allowed for each byte of a body. A chunk of one byte has five.
constexpr std::size_t kMaxFramingPerByte = 8;

// The framing of the body that is being read. Beast's parser has limits for
// heads and bodies only, and takes a chunk's size with its extensions, or the
// trailers, once they are complete.
struct framing_state {
  std::size_t taken = 0;  // Bytes of framing that the parser took.

  [[nodiscard]] bool IsTooLarge(std::size_t untaken,
                                std::size_t body,
                                const read_limits& limits) const {
    return untaken > limits.max_head_bytes ||
           taken > limits.max_head_bytes + kMaxFramingPerByte * body;
  }
};

template <typename Parser>
struct reader_state {
  Parser parser;
  // Of the head. The parser adds a body's trailers to its own, which must not
  // pass for fields of the head (RFC 9110, section 6.5.1).
  http_headers headers;
  std::string keep_alive_header;
  read_limits limits;
  framing_state framing;
  read_problem problem = read_problem::kNone;
};

template <bool kIsRequest, typename Fields>
bool IsValidHead(const http::header<kIsRequest, Fields>& head) {
  if constexpr (!kIsRequest) {
    if (!IsAnswerStatus(head.result_int())) {
      return false;
    }
  }
  return HasKnownFraming(head);
}

// Feeds as long as the parser takes something: it stops behind the head and
// behind each chunk.
template <typename Parser>
read_state FeedAll(reader_state<Parser>& state,
                   std::string_view bytes,
                   std::size_t* taken) {
  Parser& parser = state.parser;
  const std::string& body = parser.get().body();
  *taken = 0;
  while (!parser.is_done()) {
    const bool in_body = parser.is_header_done();
    const std::size_t body_before = body.size();
    error_code error;
    const std::size_t used = parser.put(
        boost::asio::buffer(bytes.data() + *taken, bytes.size() - *taken),
        error);
    *taken += used;
    if (!in_body && parser.is_header_done()) {
      if (!IsValidHead(parser.get())) {
        state.problem = read_problem::kMalformed;
        return read_state::kFailed;
      }
      state.headers = EndToEnd(parser.get());
      state.keep_alive_header = ToString(parser.get()[http::field::keep_alive]);
    }
    const bool needs_more = error == http::error::need_more;
    if (error && !needs_more) {
      state.problem = ProblemOf(error);
      return read_state::kFailed;
    }
    if (!in_body) {
      parser.eager(parser.is_header_done());
    } else {
      state.framing.taken += used - (body.size() - body_before);
      if (!parser.is_done() &&
          state.framing.IsTooLarge(needs_more ? bytes.size() - *taken : 0,
                                   body.size(), state.limits)) {
        state.problem = read_problem::kFramingTooLarge;
        return read_state::kFailed;
      }
    }
    if (needs_more || (used == 0 && !parser.is_done())) {
      return read_state::kMore;
    }
  }
  return read_state::kDone;
}

template <typename Parser>
std::size_t BodyBytes(const Parser& parser) {
  if (!parser.is_header_done()) {
    return 0;
  }
  const auto announced = parser.content_length();
  return announced ? static_cast<std::size_t>(*announced)
                   : parser.get().body().size();
}

template <typename Parser>
void Prepare(reader_state<Parser>& state, const read_limits& limits) {
  state.limits = limits;
  // Once it goes on into the body within one call, Beast's parser forgets that
  // the announced length of a response is above the limit.
  state.parser.eager(false);
  state.parser.header_limit(static_cast<std::uint32_t>(limits.max_head_bytes));
  state.parser.body_limit(limits.max_body_bytes);
}

}  // namespace

void AppendHeader(std::string_view name,
                  std::string_view value,
                  std::string* block) {
  block->append(name).append(": ").append(value).append("\r\n");
}

std::string ToBlock(const http_headers& headers) {
  std::string block;
  for (const http_header& header : headers) {
    AppendHeader(header.name, header.value, &block);
  }
  return block;
}

struct request_reader::state
    : reader_state<http::request_parser<http::string_body>> {};

request_reader::request_reader(const read_limits& limits)
    : state_(std::make_unique<state>()) {
  Prepare(*state_, limits);
}

request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
request_reader& request_reader::operator=(request_reader&&) noexcept = default;

read_state request_reader::Feed(std::string_view bytes, std::size_t* taken) {
  return FeedAll(*state_, bytes, taken);
}

read_problem request_reader::problem() const {
  return state_->problem;
}

bool request_reader::has_head() const {
  return state_->parser.is_header_done();
}

std::size_t request_reader::body_bytes() const {
  return BodyBytes(state_->parser);
}

bool request_reader::expects_continue() const {
  return has_head() && !state_->parser.is_done() &&
         Equals(state_->parser.get()[http::field::expect], "100-continue");
}

read_request request_reader::Take() {
  auto& message = state_->parser.get();
  read_request request;
  request.verb = ToString(message.method_string());
  request.target = ToString(message.target());
  request.headers = std::move(state_->headers);
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  return request;
}

struct response_reader::state
    : reader_state<http::response_parser<http::string_body>> {};

response_reader::response_reader(const read_limits& limits, bool to_head)
    : state_(std::make_unique<state>()) {
  Prepare(*state_, limits);
  state_->parser.skip(to_head);
}

response_reader::~response_reader() = default;
response_reader::response_reader(response_reader&&) noexcept = default;
response_reader& response_reader::operator=(response_reader&&) noexcept =
    default;

read_state response_reader::Feed(std::string_view bytes, std::size_t* taken) {
  return FeedAll(*state_, bytes, taken);
}

read_state response_reader::FeedEnd() {
  error_code error;
  if (!state_->parser.got_some()) {
    return read_state::kFailed;
  }
  state_->parser.put_eof(error);
  return !error && state_->parser.is_done() ? read_state::kDone
                                            : read_state::kFailed;
}

read_problem response_reader::problem() const {
  return state_->problem;
}

std::size_t response_reader::body_bytes() const {
  return BodyBytes(state_->parser);
}

bool response_reader::begun() const {
  return state_->parser.got_some();
}

read_response response_reader::Take() {
  auto& message = state_->parser.get();
  read_response response;
  response.status = static_cast<int>(message.result_int());
  response.headers = std::move(state_->headers);
  response.keep_alive_header = std::move(state_->keep_alive_header);
  response.keep_alive = state_->parser.keep_alive();
  response.body = std::move(message.body());
  return response;
}

std::string RequestHead(const relayed_request& request,
                        std::string_view more_headers) {
  std::string head;
  head.reserve(request.header_block.size() + more_headers.size() + 128);
  head.append(request.verb).append(" ").append(request.target);
  head.append(" HTTP/1.1\r\n");
  head.append(request.header_block).append(more_headers);
  const bool bodiless = request.verb == "GET" || request.verb == "HEAD";
  if (!request.body.empty() || !bodiless) {
    AppendHeader("Content-Length", std::to_string(request.body.size()), &head);
  }
  head.append("\r\n");
  return head;
}

std::string ResponseHead(int status,
                         std::string_view header_block,
                         std::optional<std::size_t> body_bytes,
                         bool keep_alive) {
  std::string head;
  head.reserve(header_block.size() + 128);
  head.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  head.append(
      ToString(http::obsolete_reason(static_cast<http::status>(status))));
  head.append("\r\n").append(header_block);
  const bool bodiless = status == 204 || status == 304;
  if (body_bytes && !bodiless) {
    AppendHeader("Content-Length", std::to_string(*body_bytes), &head);
  }
  if (!keep_alive) {
    AppendHeader("Connection", "close", &head);
  }
  head.append("\r\n");
  return head;
}

}  // namespace pistachioweir
