#include "ThriftServer.hpp"

#include "PeerSecret.hpp"
#include "ThriftChannel.hpp"
#include "common/Strings.hpp"

#include <future>

#include <thrift/TOutput.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

namespace cactuspitch {

namespace thrift = apache::thrift;

ThriftServer::ThriftServer(std::string aListen,
                           std::shared_ptr<thrift::TProcessor> aProcessor,
                           std::string aSecret)
  : listen_(std::move(aListen))
  , processor_(std::move(aProcessor))
  , secret_(std::move(aSecret))
{
}

ThriftServer::~ThriftServer()
{
  Stop();
}

absl::Status ThriftServer::Start()
{
  // By default Thrift prints connection errors to standard error.
  thrift::GlobalOutput.setOutputFunction([](const char*) {});
  const auto [host, port] = SplitAddress(listen_);
  std::promise<absl::Status> listening;
  auto result = listening.get_future();
  server_ = std::make_unique<thrift::server::TThreadedServer>(
    processor_,
    std::make_shared<thrift::transport::TServerSocket>(host, port),
    std::make_shared<thrift::transport::TBufferedTransportFactory>(),
    std::make_shared<thrift::protocol::TCompactProtocolFactory>());
  server_->setServerEventHandler(std::make_shared<SecretCheck>(
    secret_, [&listening] { listening.set_value(absl::OkStatus()); }));
  thread_ = std::thread([this, &listening] {
    try {
      server_->serve();
    } catch (const thrift::TException& failure) {
      // serve() throws only before it has begun to listen.
      listening.set_value(absl::UnavailableError(
        Concat("cannot listen on ", listen_, ": ", failure.what())));
    }
  });
  return result.get();
}

void ThriftServer::Stop()
{
  if (thread_.joinable()) {
    server_->stop();
    thread_.join();
  }
}

}
