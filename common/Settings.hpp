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

/// Kind of value that a setting accepts.
enum class SettingType : uint8_t
{
  Text,
  Integer,
  Boolean,
  Address,     ///< IP:port
  AddressList, ///< comma separated IP:port
  File,        ///< readable file
  Count
};

template<>
struct EnumNames<SettingType>
{
  static constexpr std::string_view kNames[] = {
    "text", "integer", "boolean", "IP:port", "IP:port,...", "file",
  };
};

/// Declaration of a setting. The flag is `--name`, the environment variable
/// `CACTUSPITCH_NAME` with dashes as underscores.
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

/// What the command line asked for besides running.
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

/// Settings of a process, from flags and environment variables; flags win.
/// All wrong settings are collected as findings.
class Settings
{
public:
  using Environment = std::map<std::string, std::string>;

  explicit Settings(std::vector<SettingSpec> aSpecs);

  /// Accepts positional arguments only when aAllowPositional is set.
  SettingsAction Parse(int aArgc,
                       char** aArgv,
                       const Environment& aEnvironment,
                       bool aAllowPositional = false);

  const Findings& GetFindings() const { return findings_; }
  const std::vector<std::string>& Positional() const { return positional_; }

  std::string Text(std::string_view aName) const;
  int64_t Integer(std::string_view aName) const;
  bool Boolean(std::string_view aName) const;
  std::vector<std::string> List(std::string_view aName) const;

  std::string HelpText(std::string_view aProgram,
                       std::string_view aSummary) const;

  /// Rules that concern more than one setting.
  using Check = std::function<void(const Settings&, Findings&)>;

  /// Parses and handles --help, --version and findings: prints all findings,
  /// also those of aCheck, and exits with status 0 or 2. Returns only when the
  /// process should run.
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
  /// Where each value came from, named in findings.
  std::map<std::string, std::string> sources_;
  std::vector<std::string> positional_;
  Findings findings_;
  SettingsAction action_ = SettingsAction::Run;
};

/// True for "IP:port" with a numeric IPv4 or bracketed IPv6 address.
bool IsValidAddress(std::string_view aText);

/// Value of a name table entry from the process environment.
Settings::Environment ProcessEnvironment();

}
