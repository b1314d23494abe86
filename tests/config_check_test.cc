// Tests of checking files of settings and manifests.
#include "src/cli/config_check.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "include/config/manifest_parser.h"
#include "include/config/manifest_set.h"
#include "src/cli/text_file.h"

namespace pistachioweir {
namespace {

using testing::AllOf;
using testing::ElementsAre;
using testing::Field;
using testing::HasSubstr;
using testing::IsEmpty;

auto Error(const std::string& place, const std::string& problem) {
  return AllOf(Field(&config_error::place, HasSubstr(place)),
               Field(&config_error::problem, HasSubstr(problem)));
}

// A folder of its own for each test.
class config_check_test : public testing::Test {
 protected:
  void SetUp() override {
    const auto* info = testing::UnitTest::GetInstance()->current_test_info();
    folder_ = testing::TempDir() + "pistachioweir-check-" + info->name() + "/";
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  std::string Write(const std::string& name, const std::string& text) {
    std::filesystem::create_directories(
        std::filesystem::path(folder_ + name).parent_path());
    std::ofstream(folder_ + name) << text;
    return folder_ + name;
  }

  // A manifest of `service` with one method "m" that may call another.
  std::string WriteManifest(const std::string& name,
                            const std::string& service,
                            int version,
                            const std::string& calls = "") {
    return Write(name, "{\"service\": \"" + service +
                           "\", \"version\": " + std::to_string(version) +
                           ", \"slots\": 4, \"connections\": 40, \"methods\": "
                           "[{\"name\": \"m\", \"calls\": [" +
                           calls + "]}]}");
  }

  std::string folder_;
};

TEST_F(config_check_test, FoldersAndFilesAreRead) {
  WriteManifest("set/a.json", "a", 1);
  WriteManifest("set/b.json", "b", 1);
  Write("set/readme.txt", "not a manifest");
  const std::string c = WriteManifest("c.json", "c", 1);
  const config_report report = CheckConfig({.manifests = {folder_ + "set", c}});
  EXPECT_THAT(report.errors, IsEmpty());
  EXPECT_EQ(report.manifests, 3U);
}

TEST_F(config_check_test, MissingFilesAndEmptyFoldersAreErrors) {
  Write("empty/readme.txt", "");
  const config_report report = CheckConfig(
      {.settings = {folder_ + "gone.json"}, .manifests = {folder_ + "empty"}});
  EXPECT_THAT(report.errors, ElementsAre(Error("gone.json", "can't be read"),
                                         Error("empty", "holds no files")));
}

// A release of one service names another service that isn't published yet.
// Each call to it would be refused.
TEST_F(config_check_test, ManifestsAreCheckedAgainstEachOther) {
  WriteManifest("set/a.json", "a", 1,
                "{\"service\": \"gone\", \"method\": \"m\"}");
  EXPECT_THAT(CheckConfig({.manifests = {folder_ + "set"}}).errors,
              ElementsAre(Error("method a/m", "service gone")));
  // Next to a manifest that can't be read, this would say nothing new.
  Write("set/gone.json", "{");
  EXPECT_THAT(CheckConfig({.manifests = {folder_ + "set"}}).errors,
              ElementsAre(Error("gone.json", "")));
}

TEST_F(config_check_test, VersionsRiseFromThePreviousSet) {
  WriteManifest("old/a.json", "a", 7);
  const std::string older = WriteManifest("new/a.json", "a", 6);
  EXPECT_THAT(
      CheckConfig({.manifests = {older}, .previous = {folder_ + "old"}}).errors,
      ElementsAre(Error("service a", "goes back")));
  const std::string newer = WriteManifest("new/a.json", "a", 8);
  EXPECT_THAT(
      CheckConfig({.manifests = {newer}, .previous = {folder_ + "old"}}).errors,
      IsEmpty());
}

TEST_F(config_check_test, VmNamesAndServicesMustFit) {
  const std::string text = R"({"vm": "a-1", "service": "a",
    "data_centre": "x", "region": "y", "caller": "127.0.0.1:1",
    "local": "127.0.0.1:2", "peer": "127.0.0.1:3", "admin": "127.0.0.1:4",
    "target": "127.0.0.1:5", "platform": ["127.0.0.1:6"],
    "fleet_keys": ["0123456789abcdef"]})";
  const std::string one = Write("1.json", text);
  const std::string two = Write("2.json", text);
  EXPECT_THAT(CheckConfig({.settings = {one, two}}).errors,
              ElementsAre(Error("vm a-1", "2 settings files")));
  const std::string other = WriteManifest("b.json", "b", 1);
  EXPECT_THAT(CheckConfig({.settings = {one}, .manifests = {other}}).errors,
              ElementsAre(Error("vm a-1", "serves a")));
}

config_report CheckExample(const std::string& deployment) {
  const std::string folder =
      std::string(PW_SOURCE_DIR "/examples/") + deployment;
  return CheckConfig({.settings = {folder + "/settings"},
                      .manifests = {folder + "/manifests"}});
}

service_manifest ExampleManifest(const std::string& name) {
  const std::string path = PW_SOURCE_DIR "/examples/" + name + ".json";
  return ParseManifest(ReadTextFile(path).value_or(""), path).value;
}

TEST(ExamplesTest, BothDeploymentsAreFreeOfErrors) {
  for (const char* deployment : {"masztyrazem", "andinas"}) {
    const config_report report = CheckExample(deployment);
    EXPECT_THAT(report.errors, IsEmpty()) << deployment;
    EXPECT_THAT(report.warnings, IsEmpty()) << deployment;
    EXPECT_EQ(report.settings, 12U);
    EXPECT_EQ(report.manifests, 4U);
  }
}

TEST(ExamplesTest, SizesAreThoseOfTheDeployments) {
  struct size {
    std::string name;
    std::uint32_t slots;
    std::uint32_t connections;
  };
  for (const size& expected :
       {size{"masztyrazem/manifests/contracts", 40, 300},
        size{"masztyrazem/manifests/billing", 40, 300},
        size{"masztyrazem/manifests/mast-registry", 40, 300},
        size{"masztyrazem/manifests/lease-terms", 15, 200},
        size{"andinas/manifests/mail", 140, 900},
        size{"andinas/manifests/registration", 140, 900},
        size{"andinas/manifests/invoicing", 140, 900},
        size{"andinas/manifests/organisation-records", 30, 300}}) {
    const service_manifest manifest = ExampleManifest(expected.name);
    EXPECT_EQ(manifest.slots, expected.slots) << expected.name;
    EXPECT_EQ(manifest.connections, expected.connections) << expected.name;
  }
}

TEST(ExamplesTest, ProtectedMethodsAreCriticalAndAtMostOnce) {
  struct protected_method {
    std::string manifest;
    std::string name;
  };
  for (const protected_method& method :
       {protected_method{"masztyrazem/manifests/contracts", "sign-tenancy"},
        protected_method{"masztyrazem/manifests/billing", "record-invoice"},
        protected_method{"andinas/manifests/registration", "register-domicile"},
        protected_method{"andinas/manifests/invoicing", "issue-invoice"}}) {
    const service_manifest manifest = ExampleManifest(method.manifest);
    const method_spec* spec = manifest.FindMethod(method.name);
    ASSERT_NE(spec, nullptr) << method.name;
    EXPECT_TRUE(spec->at_most_once) << method.name;
    EXPECT_EQ(spec->level, priority::kCritical) << method.name;
  }
}

}  // namespace
}  // namespace pistachioweir
