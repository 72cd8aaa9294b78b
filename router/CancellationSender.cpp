#include "CancellationSender.hpp"

#include "common/Strings.hpp"

#include <chrono>

#include <absl/strings/ascii.h>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxQueuedCancellations = 1024;
constexpr TimeMs kCancelTimeoutMs = 200;
constexpr size_t kMaxResponseBytes = 4096;

std::string PercentEncode(const std::string& aText)
{
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char byte : aText) {
    const auto value = static_cast<unsigned char>(byte);
    if (absl::ascii_isalnum(value) || byte == '-' || byte == '_' ||
        byte == '.') {
      encoded.push_back(byte);
    } else {
      constexpr unsigned kHighShift = 4;
      constexpr unsigned kLowMask = 0xF;
      encoded.push_back('%');
      encoded.push_back(kDigits[value >> kHighShift]);
      encoded.push_back(kDigits[value & kLowMask]);
    }
  }
  return encoded;
}

}

CancellationSender::CancellationSender(const Clock& aClock)
  : clock_(aClock)
  , messages_(detail::kMaxQueuedCancellations)
  , thread_([this] { Run(); })
{
}

CancellationSender::~CancellationSender()
{
  Stop();
}

void CancellationSender::Stop()
{
  messages_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CancellationSender::Cancel(const std::string& aAddress,
                                const std::string& aRequestId)
{
  messages_.TryPush({ aAddress, aRequestId });
}

void CancellationSender::Run()
{
  constexpr auto kPopTimeout = std::chrono::seconds(1);
  while (true) {
    const auto message = messages_.Pop(kPopTimeout);
    if (!message) {
      if (messages_.IsClosed()) {
        return;
      }
      continue;
    }
    HttpConnection connection(clock_, message->address_);
    const HttpRequest request{ "POST",
                               Concat(
                                 "/_cactuspitch/cancel?id=",
                                 detail::PercentEncode(message->requestId_)),
                               {},
                               {} };
    const auto response =
      connection.Exchange(request,
                          clock_.NowMs() + detail::kCancelTimeoutMs,
                          detail::kMaxResponseBytes);
    if (response.ok()) {
      sent_.fetch_add(1, std::memory_order_relaxed);
    }
  }
}

}
