#include "common/Settings.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

std::vector<SettingSpec> Specs()
{
  return {
    { "listen", SettingType::Address, "", "Address.", true },
    { "threads", SettingType::Integer, "8", "Threads.", false, 1, 64 },
    { "verbose", SettingType::Boolean, "false", "Verbose." },
  };
}

SettingsAction Parse(Settings& aSettings,
                     std::vector<std::string> aArguments,
                     const Settings::Environment& aEnvironment = {})
{
  aArguments.insert(aArguments.begin(), "program");
  std::vector<char*> argv;
  for (auto& argument : aArguments) {
    argv.push_back(argument.data());
  }
  const int argc = static_cast<int>(argv.size());
  argv.push_back(nullptr);
  return aSettings.Parse(argc, argv.data(), aEnvironment);
}

// Guards against an environment variable that overrides a flag.
TEST(Settings, FlagsOverrideEnvironment)
{
  Settings settings(Specs());
  EXPECT_EQ(Parse(settings,
                  { "--listen", "127.0.0.1:80", "--threads", "9" },
                  { { "CACTUSPITCH_THREADS", "4" },
                    { "CACTUSPITCH_VERBOSE", "true" } }),
            SettingsAction::Run);
  EXPECT_EQ(settings.Integer("threads"), 9);
  EXPECT_TRUE(settings.Boolean("verbose"));
}

// Guards against reporting only the first of several invalid settings.
TEST(Settings, AllFindingsAreReportedTogether)
{
  Settings settings(Specs());
  EXPECT_EQ(Parse(settings,
                  { "--listen", "localhost", "--unknown", "extra" },
                  { { "CACTUSPITCH_THREADS", "65" },
                    { "CACTUSPITCH_VERBOSE", "maybe" } }),
            SettingsAction::Invalid);
  EXPECT_EQ(settings.GetFindings().All().size(), 5u)
    << settings.GetFindings().ToText();
}

// Guards against starting without a required setting.
TEST(Settings, MissingRequiredSettingIsAFinding)
{
  Settings settings(Specs());
  EXPECT_EQ(Parse(settings, {}), SettingsAction::Invalid);
}

// Guards against accepting host names or malformed ports as addresses.
TEST(Settings, AddressesAreNumeric)
{
  EXPECT_TRUE(IsValidAddress("10.0.0.1:8080"));
  EXPECT_TRUE(IsValidAddress("[::1]:8080"));
  for (const char* text : { "",
                            ":80",
                            "10.0.0.1",
                            "10.0.0.1:",
                            "10.0.0.1:0",
                            "10.0.0.1:65536",
                            "10.0.0.1:+5",
                            "host:80",
                            "::1:80" }) {
    EXPECT_FALSE(IsValidAddress(text)) << text;
  }
}

}
}
