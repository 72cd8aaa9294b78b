#pragma once

#include "ApiClient.hpp"
#include "CommandLine.hpp"

#include <iosfwd>
#include <string>

namespace cactuspitch {

/// Runs one subcommand and prints its answer.
class Commands
{
public:
  Commands(const ApiClient& aClient, std::ostream& aOut, std::ostream& aError);

  CtlExit Run(const CtlArguments& aArguments);

private:
  /// The change that the arguments describe; findings when malformed.
  nlohmann::json MakeChange(const CtlArguments& aArguments,
                            int64_t aBaseVersion,
                            Findings& aFindings) const;
  CtlExit Change(const CtlArguments& aArguments);
  CtlExit Release(const CtlArguments& aArguments);
  CtlExit WritePage(const CtlArguments& aArguments);
  CtlExit Explain(const CtlArguments& aArguments);
  CtlExit Show(const CtlArguments& aArguments);
  CtlExit Finish(const CtlArguments& aArguments,
                 const absl::StatusOr<ApiAnswer>& aAnswer,
                 CtlExit aOnLostAnswer);
  CtlExit Refuse(const Findings& aFindings);

  const ApiClient& client_;
  std::ostream& out_;
  std::ostream& error_;
};

}
