#include <bit>
#include <cstring>

#include "figwell/peers.h"

namespace figwell::peers {

static_assert(std::endian::native == std::endian::little,
              "the codec writes numbers as they stand in memory");

void OutputArchive::saveBinary(const void* data, std::size_t size) {
  out_->append(static_cast<const char*>(data), size);
}

void InputArchive::loadBinary(void* data, std::size_t size) {
  if (size > input_.size()) {
    throw cereal::Exception("message is truncated");
  }
  std::memcpy(data, input_.data(), size);
  input_.remove_prefix(size);
}

std::size_t InputArchive::LoadLength(std::size_t max) {
  std::uint32_t length = 0;
  loadBinary(&length, sizeof(length));
  // Every element takes at least a byte of the input.
  if (length > max || length > input_.size()) {
    throw cereal::Exception("length exceeds its bound");
  }
  return length;
}

void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                               const std::string& text) {
  archive(cereal::make_size_tag(text.size()));
  archive.saveBinary(text.data(), text.size());
}

void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive.loadBinary(&byte, sizeof(byte));
  if (byte > 1) {
    throw cereal::Exception("bool is neither 0 nor 1");
  }
  value = byte == 1;
}

void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, std::string& text) {
  text.resize(archive.LoadLength(archive.remaining()));
  archive.loadBinary(text.data(), text.size());
}

}  // namespace figwell::peers
