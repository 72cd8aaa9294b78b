#pragma once

#include "ApiServer.hpp"
#include "config/ConfigEditor.hpp"

#include <vector>

namespace cactuspitch {

/// Routes for defaults, exceptions, rules in force, previews, changes and the
/// change history. All of them read the store instead of a cache, so that an
/// operator bases a change on the newest version.
class RulesApi
{
public:
  RulesApi(ConfigEditor& aEditor,
           const Clock& aClock,
           ConfigEditor::UnixClock aUnixClock);

  std::vector<ApiRoute> Routes();

private:
  using Handler = ApiResponse (RulesApi::*)(ApiRequest&);

  ApiResponse ShowDefaults(ApiRequest& aRequest);
  ApiResponse ListExceptions(ApiRequest& aRequest);
  ApiResponse ShowRules(ApiRequest& aRequest);
  ApiResponse Preview(ApiRequest& aRequest);
  ApiResponse Change(ApiRequest& aRequest);
  ApiResponse ShowHistory(ApiRequest& aRequest);

  /// Reads the newest document; retries for 2 s while the store is unavailable.
  /// Returns false, and an error response in aFailure, on failure.
  bool ReadDocument(FleetDocument& aDocument, ApiResponse& aFailure);

  ConfigEditor& editor_;
  const Clock& clock_;
  ConfigEditor::UnixClock unixClock_;
};

}
