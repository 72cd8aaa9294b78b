#include "ThriftChannel.hpp"

namespace cactuspitch {

std::pair<std::string, int> SplitAddress(std::string_view aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    return { std::string(aAddress), 0 };
  }
  auto host = aAddress.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') {
    host = host.substr(1, host.size() - 2);
  }
  int port = 0;
  ParseNumber(aAddress.substr(colon + 1), port);
  return { std::string(host), port };
}

bool IsConnectionRefused(const absl::Status& aStatus)
{
  // Thrift reports the cause only in the message text.
  return absl::IsUnavailable(aStatus) &&
         ToStd(aStatus.message()).find("refused") != std::string_view::npos;
}

}
