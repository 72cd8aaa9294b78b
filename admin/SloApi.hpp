#pragma once

#include "ApiServer.hpp"
#include "SloReport.hpp"
#include "config/ConfigEditor.hpp"
#include "rpc/TableFollower.hpp"

#include <vector>

namespace cactuspitch {

/// Routes for the burn report as JSON and as a page. Objectives are the rules
/// in force for each service that has a table or counts.
class SloApi
{
public:
  SloApi(ConfigEditor& aEditor,
         SloArchive& aArchive,
         const TableFollower& aFollower,
         ConfigEditor::UnixClock aUnixClock);

  std::vector<ApiRoute> Routes();

private:
  /// Answers when there is no report; empty status otherwise.
  bool MakeReport(ApiRequest& aRequest,
                  SloReport& aReport,
                  ApiResponse& aFailure);

  ConfigEditor& editor_;
  SloArchive& archive_;
  const TableFollower& follower_;
  ConfigEditor::UnixClock unixClock_;
};

}
