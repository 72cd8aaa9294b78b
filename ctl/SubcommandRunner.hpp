#pragma once

#include "ApiClient.hpp"
#include "CommandLine.hpp"

#include <iosfwd>
#include <string>

namespace cactuspitch {

/// Runs one subcommand of cactuspitch-ctl and prints the result.
class SubcommandRunner
{
public:
  SubcommandRunner(const ApiClient& aClient,
                   std::ostream& aOut,
                   std::ostream& aError);

  /// aArguments must be complete, as ParseCommandLine() returns them.
  CtlExit Run(const CtlArguments& aArguments);

private:
  /// Request body of the change; adds a finding for each malformed argument.
  nlohmann::json MakeChange(const CtlArguments& aArguments,
                            int64_t aBaseVersion,
                            Findings& aFindings) const;
  CtlExit Change(const CtlArguments& aArguments);
  CtlExit Release(const CtlArguments& aArguments);
  CtlExit WriteHtmlReport(const CtlArguments& aArguments);
  CtlExit Explain(const CtlArguments& aArguments);
  CtlExit Show(const CtlArguments& aArguments);
  /// Prints the response or the error of the call. aOnLostResponse is returned
  /// when the request was sent but no response arrived.
  CtlExit ReportResponse(const CtlArguments& aArguments,
                         const absl::StatusOr<ApiClientResponse>& aResponse,
                         CtlExit aOnLostResponse);
  CtlExit ReportFindings(const Findings& aFindings);

  const ApiClient& client_;
  std::ostream& out_;
  std::ostream& error_;
};

}
