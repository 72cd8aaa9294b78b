#include "policy/BuiltInPolicies.hpp"

namespace cactuspitch::detail {

// Each is defined in the source that registers the plug-in.
bool LinkAdaptiveAdmission();
bool LinkLoadPerKeyPolicy();
bool LinkStaticAdmission();

bool LinkBuiltInPolicies()
{
  return LinkAdaptiveAdmission() && LinkLoadPerKeyPolicy() &&
         LinkStaticAdmission();
}

}
