// Answers that end inside their head, at each byte of it.
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/support/fake_http_target.h"
#include "tests/support/forward_path.h"

namespace pistachioweir {
namespace {

using connection_ptr = fake_http_target::connection_ptr;

constexpr std::string_view kInterim =
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

// Where an answer ends, and how.
struct cut {
  std::size_t bytes = 0;
  bool in_order = true;
};

// The target answers paths that end in "well", and cuts its other answers.
class cut_head_test : public testing::Test {
 protected:
  cut_head_test() {
    path_.Configure();
    path_.target.on_request = [this](const read_request& request,
                                     const connection_ptr& from) {
      if (request.target.ends_with("well")) {
        from->Send(fake_http_target::Answer(request, "well"));
      } else {
        SendPart(Head(request), *from);
      }
    };
  }

  // The longest head that is cut.
  static std::string Head(const read_request& request) {
    const std::string whole =
        std::string(kInterim) + fake_http_target::Answer(request, "body");
    return whole.substr(0, whole.size() - std::string_view("body").size());
  }

  void SendPart(const std::string& head, fake_http_target::connection& to) {
    to.Send(head.substr(0, cut_.bytes));
    if (cut_.in_order) {
      to.Close();
    } else {
      to.Reset();
    }
  }

  // At each byte, closed in order and reset. The head itself is whole with the
  // last one, without its body.
  template <typename Check>
  void ForEachCut(const Check& check) {
    const std::size_t size =
        Head({.headers = {{.name = "Request-Id", .value = "id-0000"}}}).size();
    for (std::size_t i = 0; i <= size; ++i) {
      for (const bool in_order : {true, false}) {
        cut_ = {.bytes = i, .in_order = in_order};
        SCOPED_TRACE("after " + std::to_string(i) + " bytes, " +
                     (in_order ? "closed" : "reset"));
        check();
      }
    }
  }

  std::string NextId() {
    std::string digits = std::to_string(++last_id_);
    return "id-" + std::string(4 - digits.size(), '0') + digits;
  }

  int Ask(caller& client, const std::string& verb, const std::string& path) {
    client.Request(verb, path, NextId());
    return client.NextResponse().status;
  }

  forward_path path_;
  cut cut_;
  int last_id_ = 0;
};

// Guards against a part of a head that is told as an answer, on the first
// request of a target's connection and on later ones.
TEST_F(cut_head_test, NoPartOfAHeadIsAnAnswer) {
  caller client(path_);
  ForEachCut([&] {
    EXPECT_EQ(Ask(client, "POST", "/sign/first"), 502);
    EXPECT_EQ(Ask(client, "POST", "/sign/well"), 200);
    EXPECT_EQ(Ask(client, "POST", "/sign/later"), 502);
    EXPECT_EQ(Ask(client, "GET", "/look/first"), 502);
    EXPECT_EQ(Ask(client, "GET", "/look/well"), 200);
  });
}

// Guards against the same where the head is all of the answer.
TEST_F(cut_head_test, NoPartOfAHeadAnswersHead) {
  caller client(path_);
  client.asks_heads = true;
  const std::string head = Head({.headers = {{"Request-Id", "id-0000"}}});
  ForEachCut([&] {
    const bool whole = cut_.bytes == head.size();
    EXPECT_EQ(Ask(client, "HEAD", "/look/1"), whole ? 200 : 502);
  });
}

// Guards against answers in another order than their requests, where one of
// them is cut.
TEST_F(cut_head_test, OtherRequestsOfAConnectionKeepTheirAnswers) {
  caller client(path_);
  ForEachCut([&] {
    for (const std::string path : {"/look/1/well", "/look/2", "/look/3/well"}) {
      client.Request("GET", path, NextId());
    }
    EXPECT_EQ(client.NextResponse().body, "well");
    EXPECT_EQ(client.NextResponse().status, 502);
    EXPECT_EQ(client.NextResponse().body, "well");
  });
}

// Guards against the same while the request is still being written.
TEST_F(cut_head_test, NoPartOfAHeadAnswersAnUpload) {
  path_.target.on_head = [this](fake_http_target::connection& from) {
    SendPart(Head({.headers = {{.name = "Request-Id", .value = "id-0000"}}}),
             from);
  };
  caller client(path_);
  const std::string body(1 << 19, 'x');
  ForEachCut([&] {
    client.Request("POST", "/sign/1", NextId(), body);
    EXPECT_EQ(client.NextResponse().status, 502);
  });
}

}  // namespace
}  // namespace pistachioweir
