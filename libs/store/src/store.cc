#include "figwell/store.h"

namespace figwell::store {

bool operator==(const Transaction& left, const Transaction& right) {
  return left.compares == right.compares && left.success == right.success &&
         left.failure == right.failure;
}

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  // A range end of one zero byte means "to the end of the key space".
  return std::string(1, '\0');
}

}  // namespace figwell::store
