#pragma once

#include "PeerSecret.hpp"
#include "common/Strings.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <absl/status/status.h>
#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace cactuspitch {

/// Splits "IP:port". The brackets of an IPv6 address are removed; the port is 0
/// when it is missing.
std::pair<std::string, int> SplitAddress(std::string_view aAddress);

/// True when the peer refused the connection: nothing listens at its address,
/// so its process has exited. False for all other failures to connect.
bool IsConnectionRefused(const absl::Status& aStatus);

/// Client of one Thrift service at one address, used by one thread at a time.
/// It reconnects after a failure. The timeouts limit every call.
template<typename Client>
class ThriftChannel
{
public:
  ThriftChannel(std::string aAddress,
                int aConnectTimeoutMs,
                int aCallTimeoutMs,
                std::string aSecret = {})
    : address_(std::move(aAddress))
    , connectTimeoutMs_(aConnectTimeoutMs)
    , callTimeoutMs_(aCallTimeoutMs)
    , secret_(std::move(aSecret))
  {
  }

  const std::string& Address() const { return address_; }

  /// Runs aCall(client). Returns Unavailable when there was no connection, so
  /// that nothing was executed, and Unknown when the call may have been
  /// executed.
  template<typename Call>
  absl::Status Run(Call&& aCall)
  {
    namespace transport = apache::thrift::transport;
    if (!client_) {
      const auto connected = Connect();
      if (!connected.ok()) {
        return connected;
      }
    }
    try {
      aCall(*client_);
      return absl::OkStatus();
    } catch (const apache::thrift::TException& failure) {
      Reset();
      return absl::UnknownError(Concat(address_, ": ", failure.what()));
    }
  }

  void Reset()
  {
    client_.reset();
    socket_.reset();
  }

private:
  absl::Status Connect()
  {
    namespace transport = apache::thrift::transport;
    namespace protocol = apache::thrift::protocol;
    const auto [host, port] = SplitAddress(address_);
    socket_ = std::make_shared<transport::TSocket>(host, port);
    socket_->setConnTimeout(connectTimeoutMs_);
    socket_->setRecvTimeout(callTimeoutMs_);
    socket_->setSendTimeout(callTimeoutMs_);
    socket_->setNoDelay(true);
    try {
      socket_->open();
      SendSecret(*socket_, secret_);
    } catch (const apache::thrift::TException& failure) {
      Reset();
      return absl::UnavailableError(Concat(address_, ": ", failure.what()));
    }
    auto buffered = std::make_shared<transport::TBufferedTransport>(socket_);
    client_ = std::make_unique<Client>(
      std::make_shared<protocol::TCompactProtocol>(buffered));
    return absl::OkStatus();
  }

  std::string address_;
  int connectTimeoutMs_;
  int callTimeoutMs_;
  std::string secret_;
  std::shared_ptr<apache::thrift::transport::TSocket> socket_;
  std::unique_ptr<Client> client_;
};

}
