#include "files.h"

#include <fstream>
#include <iterator>

namespace figwell::ctl {

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ErrorCode::kInvalid, "cannot read " + path);
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace figwell::ctl
