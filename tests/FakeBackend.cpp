#include "FakeBackend.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {

namespace {

void SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<size_t>(count);
  }
}

}

std::string FakeBackend::Request::Path() const
{
  const auto begin = head_.find(' ') + 1;
  return head_.substr(begin, head_.find(' ', begin) - begin);
}

std::string FakeBackend::Request::Header(const std::string& aName) const
{
  const auto begin = head_.find("\r\n" + aName + ": ");
  if (begin == std::string::npos) {
    return {};
  }
  const auto value = begin + aName.size() + 4;
  return head_.substr(value, head_.find("\r\n", value) - value);
}

FakeBackend::FakeBackend(Script aScript)
  : script_(std::move(aScript))
{
  Listen();
}

FakeBackend::~FakeBackend()
{
  Crash();
  // An acceptor may still add a connection, so the second call closes those.
  std::ranges::for_each(acceptors_, &std::thread::join);
  Crash();
  std::ranges::for_each(threads_, &std::thread::join);
}

void FakeBackend::Listen()
{
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port_.Port()));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  listen(listener, 64);
  const std::lock_guard lock(mutex_);
  listener_ = listener;
  acceptors_.emplace_back([this, listener] { Accept(listener); });
}

void FakeBackend::Accept(int aListener)
{
  while (true) {
    const int client = accept(aListener, nullptr, nullptr);
    if (client < 0) {
      close(aListener);
      return;
    }
    const int enabled = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    ++connections_;
    const std::lock_guard lock(mutex_);
    sockets_.push_back(client);
    threads_.emplace_back([this, client] { Serve(client); });
  }
}

void FakeBackend::Crash()
{
  const std::lock_guard lock(mutex_);
  if (listener_ >= 0) {
    shutdown(listener_, SHUT_RDWR);
    listener_ = -1;
  }
  for (const int client : sockets_) {
    shutdown(client, SHUT_RDWR);
  }
}

void FakeBackend::Restart(const std::string& aIncarnation)
{
  Crash();
  {
    const std::lock_guard lock(mutex_);
    incarnation_ = aIncarnation;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  Listen();
}

bool FakeBackend::ReadRequest(int aSocket,
                              std::string& aBuffer,
                              Request& aRequest)
{
  const auto fill = [&] {
    char bytes[16384];
    const auto got = recv(aSocket, bytes, sizeof(bytes), 0);
    if (got > 0) {
      aBuffer.append(bytes, static_cast<size_t>(got));
    }
    return got > 0;
  };
  size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return false;
    }
  }
  aRequest.head_ = aBuffer.substr(0, end + 2);
  aBuffer.erase(0, end + 4);
  size_t length = 0;
  ParseNumber(aRequest.Header("Content-Length"), length);
  while (aBuffer.size() < length) {
    if (!fill()) {
      return false;
    }
  }
  aRequest.body_ = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return true;
}

FakeBackend::Response FakeBackend::Respond(const Request& aRequest)
{
  const auto path = aRequest.Path();
  if (path == "/_cactuspitch/health") {
    return Ok("{}");
  }
  if (path.starts_with("/_cactuspitch/cancel?id=")) {
    const std::lock_guard lock(mutex_);
    cancelled_.push_back(path.substr(path.find('=') + 1));
  } else {
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(aRequest);
    }
    return script_(aRequest);
  }
  return Ok("{}");
}

void FakeBackend::Serve(int aSocket)
{
  std::string buffer;
  Request request;
  while (ReadRequest(aSocket, buffer, request)) {
    const auto response = Respond(request);
    std::this_thread::sleep_for(std::chrono::milliseconds(response.delayMs_));
    SendAll(aSocket, response.bytes_);
    if (response.afterResponse_ == AfterResponse::Hang) {
      while (ReadRequest(aSocket, buffer, request)) {
      }
    }
    if (response.afterResponse_ == AfterResponse::Reset) {
      const linger now{ 1, 0 };
      setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    if (response.afterResponse_ != AfterResponse::Keep) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  std::erase(sockets_, aSocket);
  close(aSocket);
}

std::vector<FakeBackend::Request> FakeBackend::Requests() const
{
  const std::lock_guard lock(mutex_);
  return requests_;
}

std::vector<std::string> FakeBackend::Cancelled() const
{
  const std::lock_guard lock(mutex_);
  return cancelled_;
}

FakeBackend::Response FakeBackend::Ok(const std::string& aBody,
                                      const std::string& aHeaders,
                                      int aStatus) const
{
  const std::lock_guard lock(mutex_);
  return { Concat("HTTP/1.1 ",
                  aStatus,
                  " X\r\nX-Clock-Ms: ",
                  clockMs_.load(),
                  "\r\nX-Incarnation: ",
                  incarnation_,
                  "\r\n",
                  aHeaders,
                  "Content-Length: ",
                  aBody.size(),
                  "\r\n\r\n",
                  aBody) };
}

FakeBackend::Response FakeBackend::NotRun(const std::string& aReason) const
{
  return Ok("", Concat("X-Not-Run: ", aReason, "\r\n"), 503);
}

}
