#pragma once

#include "common/Findings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// Exit statuses of cactuspitch-ctl.
enum class CtlExit : uint8_t
{
  Success = 0,
  Failure = 1,     ///< the API or a local step failed, or a partial result
  Usage = 2,       ///< wrong command line, or rejected with findings
  Unreachable = 3, ///< no admin process responded; nothing was changed
  Conflict = 4,    ///< the base version is not the newest any more
  Unknown = 5,     ///< the change may have taken effect
  NotInForce = 6,  ///< wait: not in force everywhere before the timeout
  Alert = 7,       ///< slo: an objective burns at an alert rate
};

/// Option of a subcommand.
struct CtlOption
{
  const char* name_;
  const char* help_;
  bool required_ = false;
  bool repeated_ = false;
};

struct CtlCommand
{
  const char* name_;
  const char* help_;
  std::vector<CtlOption> options_;
  bool usesAdmin_ = true; ///< needs the address of an admin process
};

/// All subcommands.
std::span<const CtlCommand> CtlCommands();

/// Parsed command line of one subcommand.
struct CtlArguments
{
  const CtlCommand* command_ = nullptr;
  std::string admin_;
  std::string token_;
  bool isJson_ = false;
  bool isHelp_ = false;
  std::map<std::string, std::vector<std::string>> values_;

  /// Last value of the option; empty when absent.
  std::string Value(const std::string& aName) const;
  /// All values of the option in the order of the command line.
  const std::vector<std::string>& Values(const std::string& aName) const;
};

/// Returns nothing and adds all findings when the command line is wrong. The
/// environment variables CACTUSPITCH_ADMIN and CACTUSPITCH_AUTH_TOKEN set the
/// defaults of --admin and --auth-token. When isHelp_ is set, command_ may be
/// null and required options may be absent.
std::optional<CtlArguments> ParseCommandLine(
  int aArgc,
  char** aArgv,
  const std::map<std::string, std::string>& aEnvironment,
  Findings& aFindings);

/// Text of --help for all subcommands.
std::string CtlHelp();

}
