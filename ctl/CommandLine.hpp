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
  Failure = 1,     ///< the API answered with an error of its own
  Usage = 2,       ///< wrong command line, or refused with findings
  Unreachable = 3, ///< no admin process answered; nothing was changed
  Conflict = 4,    ///< another operator was faster
  Unknown = 5,     ///< the change may have taken effect
  NotInForce = 6,  ///< wait: not in force everywhere in time
  Alert = 7,       ///< slo: some objective burns at an alert rate
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

  /// Last value; empty when absent.
  std::string Value(const std::string& aName) const;
  const std::vector<std::string>& Values(const std::string& aName) const;
};

/// Nothing, and all findings, when the command line is wrong. The environment
/// variables CACTUSPITCH_ADMIN and CACTUSPITCH_AUTH_TOKEN give defaults.
std::optional<CtlArguments> ParseCommandLine(
  int aArgc,
  char** aArgv,
  const std::map<std::string, std::string>& aEnvironment,
  Findings& aFindings);

std::string CtlHelp();

}
