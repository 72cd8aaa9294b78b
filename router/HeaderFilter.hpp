#pragma once

#include "common/HttpConnection.hpp"

#include <string_view>

namespace cactuspitch {

/// Which headers pass the router. Hop-by-hop headers, those named by a
/// Connection header and those of the internal protocol are removed.
class HeaderFilter
{
public:
  /// Headers of a caller's request that go to a backend server.
  static HttpHeaders ForServer(HttpHeaders aHeaders);
  /// Headers of a backend server's answer that go to the caller.
  static HttpHeaders ForCaller(HttpHeaders aHeaders);
};

}
