#pragma once

#include "ApiServer.hpp"
#include "SloReport.hpp"
#include "config/ConfigEditor.hpp"
#include "rpc/TableFollower.hpp"

#include <vector>

namespace cactuspitch {

/// Routes for the SLO burn report as JSON and as an HTML page. The report
/// covers every service that has a table or request counts; its objectives come
/// from the rules in force.
class SloApi
{
public:
  SloApi(ConfigEditor& aEditor,
         SloArchive& aArchive,
         const TableFollower& aFollower,
         ConfigEditor::UnixClock aUnixClock);

  std::vector<ApiRoute> Routes();

private:
  /// Returns false, and an error response in aFailure, when the query is
  /// invalid or the store cannot be read.
  bool MakeReport(ApiRequest& aRequest,
                  SloReport& aReport,
                  ApiResponse& aFailure);

  ConfigEditor& editor_;
  SloArchive& archive_;
  const TableFollower& follower_;
  ConfigEditor::UnixClock unixClock_;
};

}
