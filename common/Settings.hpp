#pragma once

#include "EnumNames.hpp"
#include "Findings.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// Type of the value of a setting.
enum class SettingType : uint8_t
{
  Text,
  Integer,
  Boolean,
  Address,     ///< IP:port
  AddressList, ///< comma separated IP:port
  File,        ///< path of a readable file
  Count
};

template<>
struct EnumNames<SettingType>
{
  static constexpr std::string_view kNames[] = {
    "text", "integer", "boolean", "IP:port", "IP:port,...", "file",
  };
};

/// Declaration of a setting. Its flag is `--name`, and its environment variable
/// is `CACTUSPITCH_NAME`, with underscores for dashes.
struct SettingSpec
{
  std::string name_;
  SettingType type_ = SettingType::Text;
  std::string default_;
  std::string help_;
  bool required_ = false;
  int64_t min_ = 0;
  int64_t max_ = INT64_MAX;
};

/// What the program should do after parsing the command line.
enum class SettingsAction : uint8_t
{
  Run,
  ShowHelp,
  ShowVersion,
  Invalid,
  Count
};

template<>
struct EnumNames<SettingsAction>
{
  static constexpr std::string_view kNames[] = {
    "run",
    "show-help",
    "show-version",
    "invalid",
  };
};

/// Settings of a process from flags and environment variables. Flags take
/// precedence. All invalid settings are collected as findings.
class Settings
{
public:
  using Environment = std::map<std::string, std::string>;

  explicit Settings(std::vector<SettingSpec> aSpecs);

  /// Parses and validates all settings. Positional arguments are findings
  /// unless aAllowPositional is set.
  SettingsAction Parse(int aArgc,
                       char** aArgv,
                       const Environment& aEnvironment,
                       bool aAllowPositional = false);

  const Findings& GetFindings() const { return findings_; }
  const std::vector<std::string>& Positional() const { return positional_; }

  // Value of a setting; empty, 0 or false when it is unknown or unset.
  std::string Text(std::string_view aName) const;
  int64_t Integer(std::string_view aName) const;
  bool Boolean(std::string_view aName) const;
  std::vector<std::string> List(std::string_view aName) const;

  std::string HelpText(std::string_view aProgram,
                       std::string_view aSummary) const;

  /// Validates rules that concern more than one setting.
  using Check = std::function<void(const Settings&, Findings&)>;

  /// Parses the command line and returns only when the process should run.
  /// Otherwise prints the help or the version and exits with status 0, or
  /// prints all findings, including those of aCheck, and exits with status 2.
  void ParseOrExit(int aArgc,
                   char** aArgv,
                   std::string_view aProgram,
                   std::string_view aSummary,
                   const Check& aCheck = {});

private:
  void ParseFlags(int aArgc, char** aArgv, bool aAllowPositional);
  void Validate(const SettingSpec& aSpec);

  std::vector<SettingSpec> specs_;
  std::map<std::string, std::string, std::less<>> values_;
  /// Source of each value, for findings.
  std::map<std::string, std::string> sources_;
  std::vector<std::string> positional_;
  Findings findings_;
  SettingsAction action_ = SettingsAction::Run;
};

/// True for "IP:port" with a numeric IPv4 or bracketed IPv6 address.
bool IsValidAddress(std::string_view aText);

/// All variables of the process environment.
Settings::Environment ProcessEnvironment();

}
