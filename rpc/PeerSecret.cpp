#include "PeerSecret.hpp"

#include "common/ProcessSettings.hpp"

#include <array>
#include <utility>

#include <thrift/protocol/TProtocol.h>

namespace cactuspitch {

namespace detail {

constexpr uint8_t kPreambleVersion = 1;

}

void SendSecret(apache::thrift::transport::TTransport& aTransport,
                const std::string& aSecret)
{
  std::string preamble;
  preamble.push_back(static_cast<char>(detail::kPreambleVersion));
  preamble.push_back(static_cast<char>(aSecret.size()));
  preamble += aSecret;
  aTransport.write(reinterpret_cast<const uint8_t*>(preamble.data()),
                   static_cast<uint32_t>(preamble.size()));
}

SecretCheck::SecretCheck(std::string aSecret,
                         std::function<void()> aOnListening)
  : secret_(std::move(aSecret))
  , onListening_(std::move(aOnListening))
{
}

void* SecretCheck::createContext(
  std::shared_ptr<apache::thrift::protocol::TProtocol> aInput,
  std::shared_ptr<apache::thrift::protocol::TProtocol> aOutput)
{
  const auto transport = aInput->getTransport();
  try {
    if (!IsAccepted(*transport)) {
      transport->close();
      aOutput->getTransport()->close();
    }
  } catch (const apache::thrift::TException&) {
    // The peer disconnected before it sent a preamble. The server's next read
    // fails and ends the connection.
  }
  return nullptr;
}

bool SecretCheck::IsAccepted(
  apache::thrift::transport::TTransport& aTransport) const
{
  std::array<uint8_t, 2> header{};
  aTransport.readAll(header.data(), header.size());
  const auto [version, size] = header;
  std::string secret(size, '\0');
  aTransport.readAll(reinterpret_cast<uint8_t*>(secret.data()), size);
  return version == detail::kPreambleVersion && IsSameSecret(secret_, secret);
}

}
