// Requests with API keys, from a caller's connection to its target.
#include <gtest/gtest.h>

#include <string>

#include "tests/support/forward_path.h"

namespace pistachioweir {
namespace {

class forward_keys_test : public testing::Test {
 protected:
  forward_keys_test()
      : path_([this](origin_options* options) {
          options->max_key_age = milliseconds(4000);
          options->proven_age = [this] { return age_; };
        }) {
    path_.Configure(milliseconds(5000),
                    {{.name = "north", .api_keys = {"secret-1"}, .rank = 0}});
    path_.target.on_request = [](const read_request& request,
                                 const fake_http_target::connection_ptr& from) {
      from->Send(fake_http_target::Answer(request, request.target));
    };
  }

  int StatusOf(const std::string& target, const std::string& extra_headers) {
    client_.Request("GET", target, "id-" + std::to_string(++requests_), "",
                    extra_headers);
    return client_.NextResponse().status;
  }

  std::optional<milliseconds> age_ = milliseconds(0);
  forward_path path_;
  caller client_{path_};
  int requests_ = 0;
};

// Guards against keys that are forwarded to targets, and against a caller that
// names an organisation other than its key's.
TEST_F(forward_keys_test, TheTargetGetsTheHoldersNameAndNeverTheKey) {
  ASSERT_EQ(StatusOf("/look/1",
                     "Authorization: Token secret-1\r\nTenant: south\r\n"
                     "TENANT: east\r\nTenant:\r\n west\r\n"),
            200);
  ASSERT_EQ(path_.target.requests.size(), 1U);
  const read_request& seen = path_.target.requests[0];
  EXPECT_EQ(Header(seen, "Tenant"), "north");
  std::size_t names = 0;
  for (const http_header& header : seen.headers) {
    names += EqualsIgnoringCase(header.name, "Tenant") ? 1U : 0U;
    EXPECT_EQ(header.value.find("secret"), header.value.npos) << header.name;
  }
  EXPECT_EQ(names, 1U);
}

TEST_F(forward_keys_test, AnUnknownKeyIsRefusedAndNothingRuns) {
  for (const char* extra_headers :
       {"", "Authorization: Token secret-2\r\n", "Authorization: Token \r\n",
        "Authorization: secret-1\r\n", "Authorization: Basic secret-1\r\n",
        "Authorization: Token secret-1\r\nAuthorization: Token secret-2\r\n"}) {
    EXPECT_EQ(StatusOf("/look/1", extra_headers), 401) << extra_headers;
  }
  EXPECT_TRUE(path_.target.requests.empty());
}

TEST_F(forward_keys_test, APublicRouteNeedsNoKey) {
  EXPECT_EQ(StatusOf("/open/1", "Tenant: south\r\n"), 200);
  EXPECT_EQ(Header(path_.target.requests[0], "Tenant"), "(none)");
}

// Guards against a withdrawn key that is still accepted on a connection opened
// before, or by a daemon that stalled.
TEST_F(forward_keys_test, AWithdrawnKeyIsRefusedOnAnOpenConnection) {
  const std::string key = "Authorization: Token secret-1\r\n";
  EXPECT_EQ(StatusOf("/look/1", key), 200);
  path_.Configure(milliseconds(5000),
                  {{.name = "north", .api_keys = {"secret-2"}}});
  EXPECT_EQ(StatusOf("/look/2", key), 401);
}

// Guards against a daemon that accepts keys while it can't receive withdrawals.
TEST_F(forward_keys_test, WithAStaleConfigurationKeysAreRefusedAsNotExecuted) {
  const std::string key = "Authorization: Token secret-1\r\n";
  for (const auto age :
       {std::optional(milliseconds(4001)), std::optional<milliseconds>()}) {
    age_ = age;
    EXPECT_EQ(StatusOf("/look/1", key), 503);
    EXPECT_EQ(StatusOf("/open/1", ""), 200);
  }
  age_ = milliseconds(100);
  EXPECT_EQ(StatusOf("/look/1", key), 200);
  EXPECT_EQ(path_.target.requests.size(), 3U);
}

// Guards against dropping other systems' credentials on deployments without
// organisations.
TEST_F(forward_keys_test, WithoutOrganisationsCredentialsAreForwarded) {
  path_.Configure();
  ASSERT_EQ(StatusOf("/look/1", "Authorization: Basic abc\r\n"), 200);
  EXPECT_EQ(Header(path_.target.requests[0], "Authorization"), "Basic abc");
}

}  // namespace
}  // namespace pistachioweir
