#include "CancellationSender.hpp"

#include "common/PercentEncoding.hpp"
#include "common/Strings.hpp"

#include <chrono>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxQueuedCancellations = 1024;
constexpr TimeMs kCancelTimeoutMs = 200;
constexpr size_t kMaxResponseBytes = 4096;

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
                               Concat("/_cactuspitch/cancel?id=",
                                      PercentEncode(message->requestId_)),
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
