#include "policy/BuiltInPolicies.hpp"

namespace cactuspitch::detail {

// Defined beside the registration of each plug-in.
bool LinkAdaptiveAdmission();
bool LinkLoadPerKeyPolicy();
bool LinkStaticAdmission();

bool LinkBuiltInPolicies()
{
  return LinkAdaptiveAdmission() && LinkLoadPerKeyPolicy() &&
         LinkStaticAdmission();
}

}
