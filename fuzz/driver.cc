// Runs a fuzz target over its corpus and over mutations of it with a fixed
// seed, so that a plain build gives the same result on every run.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace {

constexpr int kMutationsPerInput = 2000;
constexpr std::size_t kMaxRandomInputBytes = 512;
constexpr std::uint32_t kSeed = 1;

void Run(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()),
                         input.size());
}

std::vector<std::string> ReadCorpus(const char* folder) {
  std::vector<std::filesystem::path> paths;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> corpus = {""};
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  return corpus;
}

void MutateOnce(std::string& input, std::mt19937& random) {
  const auto byte = static_cast<char>(random());
  if (input.empty()) {
    input.assign(random() % kMaxRandomInputBytes, byte);
    return;
  }
  const std::size_t position = random() % input.size();
  switch (random() % 5) {
    case 0:
      input[position] = byte;
      break;
    case 1:
      input.insert(position, 1, byte);
      break;
    case 2:
      input.erase(position, 1 + random() % 8);
      break;
    case 3:
      input.resize(position);
      break;
    default:
      input.insert(position, input.substr(random() % input.size(), 16));
      break;
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> corpus =
      ReadCorpus(argc > 1 ? argv[1] : "corpus");
  std::mt19937 random(kSeed);
  int runs = 0;
  for (const std::string& seed_input : corpus) {
    Run(seed_input);
    for (int i = 0; i < kMutationsPerInput; ++i) {
      std::string input = seed_input;
      const unsigned steps = 1 + random() % 6;
      for (unsigned step = 0; step < steps; ++step) {
        MutateOnce(input, random);
      }
      Run(input);
      ++runs;
    }
  }
  std::printf("%d inputs, none failed\n", runs);
  return 0;
}
