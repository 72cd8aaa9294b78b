#pragma once

#include <memory>
#include <string>
#include <thread>

#include <absl/status/status.h>
#include <thrift/TProcessor.h>
#include <thrift/server/TThreadedServer.h>

namespace cactuspitch {

/// Thrift server (compact protocol, buffered transport). Every client
/// connection has a thread of its own, so that long polls can wait.
class ThriftServer
{
public:
  /// aListen is "IP:port". Clients must send aSecret, which may be empty.
  ThriftServer(std::string aListen,
               std::shared_ptr<apache::thrift::TProcessor> aProcessor,
               std::string aSecret = {});
  ~ThriftServer();
  ThriftServer(const ThriftServer&) = delete;
  ThriftServer& operator=(const ThriftServer&) = delete;

  absl::Status Start();
  void Stop();

private:
  std::string listen_;
  std::shared_ptr<apache::thrift::TProcessor> processor_;
  std::string secret_;
  std::unique_ptr<apache::thrift::server::TThreadedServer> server_;
  std::thread thread_;
};

}
