#pragma once

#include "common/HttpConnection.hpp"

#include <string_view>

namespace cactuspitch {

/// Removes headers that the router must not forward: hop-by-hop headers,
/// headers that a Connection header lists, and headers of the internal
/// protocol.
class HeaderFilter
{
public:
  /// Headers of a caller's request to forward to the backend server.
  static HttpHeaders ForServer(HttpHeaders aHeaders);
  /// Headers of a backend server's response to forward to the caller.
  static HttpHeaders ForCaller(HttpHeaders aHeaders);
};

}
