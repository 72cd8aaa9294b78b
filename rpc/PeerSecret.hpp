#pragma once

#include <functional>
#include <memory>
#include <string>

#include <thrift/server/TServer.h>
#include <thrift/transport/TTransport.h>

namespace cactuspitch {

/// Sends the preamble that starts every Thrift connection between processes: a
/// version byte, the length of the shared secret, and the secret.
void SendSecret(apache::thrift::transport::TTransport& aTransport,
                const std::string& aSecret);

/// Reads the preamble of each new connection, before any call, and closes the
/// connection when the secret does not match.
class SecretCheck final : public apache::thrift::server::TServerEventHandler
{
public:
  /// aOnListening is called once the server accepts connections.
  SecretCheck(std::string aSecret, std::function<void()> aOnListening);

  void preServe() override { onListening_(); }
  void* createContext(
    std::shared_ptr<apache::thrift::protocol::TProtocol> aInput,
    std::shared_ptr<apache::thrift::protocol::TProtocol> aOutput) override;

private:
  bool IsAccepted(apache::thrift::transport::TTransport& aTransport) const;

  std::string secret_;
  std::function<void()> onListening_;
};

}
