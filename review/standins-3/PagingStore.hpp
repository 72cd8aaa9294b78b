#pragma once

#include "common/Strings.hpp"
#include "net/HttpClient.hpp"
#include "tests/PlatformStore.hpp"
#include "tests/ScriptedServer.hpp"

#include <string>
#include <utility>

namespace cactuspitch {

/// The store as the gateways see it: lists are given in pages of 500 objects or
/// 1 MB at most, which are continued after a name. All other calls go on to the
/// store unchanged.
class PagingStore
{
public:
  static constexpr size_t kPageObjects = 500;
  static constexpr size_t kPageBytes = 1000000;

  PagingStore(EventLoop& aLoop, const PlatformStore& aStore)
    : store_(aStore)
    , client_(aLoop)
    , server_(aLoop, [this](auto& aExchange) { Serve(aExchange); })
  {
  }

  Endpoint Address() const { return server_.Address(); }

private:
  using Exchange = ScriptedServer::Exchange;
  using Json = nlohmann::json;

  void Serve(const Exchange& aExchange)
  {
    constexpr TimeMs kLongestWatchMs = 40000;
    const auto& head = aExchange.head_;
    const auto [path, query] = SplitAt(head.target_, '?');
    // A list has a kind only, behind "/-/objects/".
    const bool isList = head.method_ == "GET" &&
                        std::ranges::count(path, '/') == 3 &&
                        query.find("watch=") == std::string::npos;
    const auto after = isList ? Parameter(query, "after") : std::string();
    CallRequest call;
    call.method_ = head.method_;
    call.target_ = isList ? path : head.target_;
    call.body_ = aExchange.body_;
    call.timeoutMs_ = kLongestWatchMs;
    client_.Call(
      store_.Address(),
      call,
      [write = aExchange.write_, reset = aExchange.reset_, isList, after](
        const CallResult& aResult) {
        if (aResult.outcome_ != CallOutcome::Completed) {
          reset();
          return;
        }
        write(
          TextResponse(aResult.head_.status_,
                       isList ? Page(aResult.body_, after) : aResult.body_));
      });
  }
  static std::pair<std::string, std::string> SplitAt(const std::string& aText,
                                                     char aMark)
  {
    const auto at = aText.find(aMark);
    return at == std::string::npos
             ? std::pair(aText, std::string())
             : std::pair(aText.substr(0, at), aText.substr(at + 1));
  }
  static std::string Decoded(const std::string& aText)
  {
    std::string result;
    for (size_t at = 0; at < aText.size(); ++at) {
      constexpr int kHex = 16;
      constexpr size_t kDigits = 2;
      if (aText[at] == '%' && at + kDigits < aText.size()) {
        result += static_cast<char>(
          std::stoi(aText.substr(at + 1, kDigits), nullptr, kHex));
        at += kDigits;
      } else {
        result += aText[at];
      }
    }
    return result;
  }
  /// Value of a parameter of a query such as "serializable=1&after=i-7".
  static std::string Parameter(std::string aQuery, const std::string& aName)
  {
    while (!aQuery.empty()) {
      const auto [parameter, rest] = SplitAt(aQuery, '&');
      const auto [name, value] = SplitAt(parameter, '=');
      if (name == aName) {
        return Decoded(value);
      }
      aQuery = rest;
    }
    return {};
  }
  static std::string Page(const std::string& aBody, const std::string& aAfter)
  {
    const auto list = Json::parse(aBody);
    auto items = Json::array();
    size_t bytes = 0;
    bool hasMore = false;
    // The store lists by name.
    for (const auto& item : list.at("items")) {
      if (item.at("metadata").at("name").get<std::string>() <= aAfter) {
        continue;
      }
      const size_t itemBytes = item.dump().size();
      if (!items.empty() &&
          (items.size() >= kPageObjects || bytes + itemBytes > kPageBytes)) {
        hasMore = true;
        break;
      }
      bytes += itemBytes;
      items.push_back(item);
    }
    return Json{
      { "items", std::move(items) },
      { "has-more", hasMore },
      { "at", list.at("at") }
    }.dump();
  }

  const PlatformStore& store_;
  HttpClient client_;
  ScriptedServer server_;
};

}
