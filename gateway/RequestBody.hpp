#pragma once

#include "common/ByteBudget.hpp"

#include <string>
#include <utility>

namespace cactuspitch {

/// Body of a caller's request. The request and the connections that send it
/// share one copy.
struct RequestBody
{
  explicit RequestBody(std::shared_ptr<ByteBudget> aBudget)
    : share_(std::move(aBudget))
  {
  }

  std::string text_;
  ByteShare share_;
};

}
