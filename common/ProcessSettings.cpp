#include "ProcessSettings.hpp"

#include <algorithm>
#include <iterator>
#include <string>

namespace cactuspitch {

namespace detail {

constexpr size_t kMinSecretBytes = 16;
/// On Thrift connections, the length of the secret is sent as one byte.
constexpr size_t kMaxSecretBytes = 255;

bool UsesOnlyLoopback(const Settings& aSettings)
{
  auto addresses = aSettings.List("assigners");
  addresses.push_back(aSettings.Text("listen"));
  addresses.push_back(aSettings.Text("rpc-listen"));
  return std::ranges::all_of(addresses, [](const std::string& aAddress) {
    return aAddress.empty() || IsLoopbackAddress(aAddress);
  });
}

}

std::vector<SettingSpec> WithProcessSettings(std::vector<SettingSpec> aSpecs)
{
  using enum SettingType;
  std::vector<SettingSpec> specs = {
    { "instance", Text, "", "Name of this instance.", true },
    { "failure-domain", Text, "", "Failure domain of the instance.", true },
    { "listen",
      Address,
      "",
      "Address that this program serves HTTP on.",
      true },
    { "assigners",
      AddressList,
      "",
      "Thrift addresses of some assigners, from which the others are "
      "discovered.",
      true },
    { "auth-token",
      Text,
      "",
      "Secret shared by all processes of the fleet and by operators; required "
      "when an address is not loopback." },
    { "log-level", Text, "info", "debug, info, warning or error." },
  };
  std::ranges::move(aSpecs, std::back_inserter(specs));
  return specs;
}

void CheckProcessSettings(const Settings& aSettings, Findings& aFindings)
{
  const auto secret = aSettings.Text("auth-token");
  if (secret.empty() && !detail::UsesOnlyLoopback(aSettings)) {
    aFindings.Add(
      "settings", "auth-token", "", "required when an address is not loopback");
  }
  if (!secret.empty() && (secret.size() < detail::kMinSecretBytes ||
                          secret.size() > detail::kMaxSecretBytes)) {
    aFindings.Add(
      "settings", "auth-token", "(hidden)", "expected 16 to 255 bytes");
  }
  const auto level = aSettings.Text("log-level");
  if (!ParseEnum<LogLevel>(level)) {
    aFindings.Add(
      "settings", "log-level", level, "expected debug, info, warning or error");
  }
}

LogLevel ProcessLogLevel(const Settings& aSettings)
{
  return ParseEnum<LogLevel>(aSettings.Text("log-level"))
    .value_or(LogLevel::Info);
}

bool IsLoopbackAddress(std::string_view aAddress)
{
  return aAddress.starts_with("127.") || aAddress.starts_with("[::1]:");
}

bool IsSameSecret(std::string_view aExpected, std::string_view aGiven)
{
  unsigned difference = aExpected.size() == aGiven.size() ? 0U : 1U;
  for (size_t i = 0; i < aGiven.size(); ++i) {
    const char expected =
      aExpected.empty() ? '\0' : aExpected[i % aExpected.size()];
    difference |= static_cast<unsigned char>(aGiven[i] ^ expected);
  }
  return difference == 0;
}

}
