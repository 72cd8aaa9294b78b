#include "common/ByteBudget.hpp"

#include <utility>

namespace cactuspitch {

ByteShare::ByteShare(std::shared_ptr<ByteBudget> aBudget)
  : budget_(std::move(aBudget))
{
}

ByteShare::~ByteShare()
{
  Set(0);
}

void ByteShare::Set(size_t aBytes)
{
  budget_->usedBytes_ = budget_->usedBytes_ - bytes_ + aBytes;
  bytes_ = aBytes;
}

bool ByteShare::TryGrowTo(size_t aBytes)
{
  if (aBytes <= bytes_) {
    return true;
  }
  const size_t others = budget_->usedBytes_ - bytes_;
  if (others > 0 && others + aBytes > budget_->limitBytes_) {
    return false;
  }
  Set(aBytes);
  return true;
}

}
