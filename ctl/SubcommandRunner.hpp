#pragma once

#include "ApiClient.hpp"
#include "CommandLine.hpp"

#include <iosfwd>
#include <string>

namespace cactuspitch {

/// Runs one subcommand and prints its answer.
class SubcommandRunner
{
public:
  SubcommandRunner(const ApiClient& aClient,
                   std::ostream& aOut,
                   std::ostream& aError);

  CtlExit Run(const CtlArguments& aArguments);

private:
  /// The change that the arguments describe; findings when malformed.
  nlohmann::json MakeChange(const CtlArguments& aArguments,
                            int64_t aBaseVersion,
                            Findings& aFindings) const;
  CtlExit Change(const CtlArguments& aArguments);
  CtlExit Release(const CtlArguments& aArguments);
  CtlExit WriteHtmlReport(const CtlArguments& aArguments);
  CtlExit Explain(const CtlArguments& aArguments);
  CtlExit Show(const CtlArguments& aArguments);
  CtlExit ReportResponse(const CtlArguments& aArguments,
                         const absl::StatusOr<ApiClientResponse>& aResponse,
                         CtlExit aOnLostResponse);
  CtlExit ReportFindings(const Findings& aFindings);

  const ApiClient& client_;
  std::ostream& out_;
  std::ostream& error_;
};

}
