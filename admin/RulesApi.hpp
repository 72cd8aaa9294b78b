#pragma once

#include "ApiServer.hpp"
#include "config/ConfigEditor.hpp"

#include <vector>

namespace cactuspitch {

/// Routes for defaults, exceptions, rules in force, previews, changes and the
/// history. All read the store, so that a change is made against the newest
/// version.
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

  /// Newest document, or the answer that tells why there is none.
  bool ReadDocument(FleetDocument& aDocument, ApiResponse& aFailure);

  ConfigEditor& editor_;
  const Clock& clock_;
  ConfigEditor::UnixClock unixClock_;
};

}
