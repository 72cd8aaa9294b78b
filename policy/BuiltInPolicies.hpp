#pragma once

namespace cactuspitch::detail {

/// Refers to every policy plug-in of this folder. A static library drops
/// objects that nothing refers to, and their registrations with them.
bool LinkBuiltInPolicies();

/// Every source that includes a policy interface pulls in the plug-ins.
inline const bool kBuiltInPoliciesLinked = LinkBuiltInPolicies();

}
