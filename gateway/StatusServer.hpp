#pragma once

#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cactuspitch {

/// HTTP server that responds to every request with the page that a function
/// returns: readiness for the load balancer, metrics for scrapers, state for
/// other gateways.
class StatusServer
{
public:
  struct Page
  {
    int status_ = 200;
    std::string body_;
  };
  using PageHandler = std::function<Page(const std::string& aTarget)>;

  StatusServer(EventLoop& aLoop, PageHandler aPage);
  ~StatusServer();

  bool Listen(const Endpoint& aEndpoint);
  void Close() { listener_.Close(); }

private:
  class Connection;

  EventLoop& loop_;
  PageHandler page_;
  TcpListener listener_;
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
};

}
