#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

// Replaces libFuzzer for compilers that do not provide it: runs each file of a corpus, then RUNS
// seeded mutations of these files. Usage: PROGRAM CORPUS RUNS

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace {

constexpr std::uint64_t mutationSeed = 1;
constexpr std::size_t maxMutations = 4;

/// Passes one input to the fuzz target.
void run(const std::string &input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
}

/// Applies one random mutation: flips a bit, replaces a byte, truncates the input or duplicates a
/// part of it.
void mutate(std::mt19937_64 *random, std::string *input)
{
    if (input->empty())
        input->push_back('\0');
    const std::size_t at = (*random)() % input->size();
    switch ((*random)() % 4) {
    case 0:
        (*input)[at] = static_cast<char>((*input)[at] ^ (1 << (*random)() % 8));
        break;
    case 1:
        (*input)[at] = static_cast<char>((*random)());
        break;
    case 2:
        input->resize(at);
        break;
    default:
        input->insert(at, input->substr((*random)() % input->size(), 8));
        break;
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s CORPUS RUNS\n", argv[0]);
        return 2;
    }
    std::vector<std::string> corpus;
    for (const auto &it : std::filesystem::directory_iterator(argv[1])) {
        std::ifstream file(it.path(), std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    if (corpus.empty()) {
        std::fprintf(stderr, "no corpus files in %s\n", argv[1]);
        return 2;
    }
    for (const std::string &it : corpus)
        run(it);

    std::mt19937_64 random(mutationSeed);
    const unsigned long runs = std::strtoul(argv[2], nullptr, 10);
    for (unsigned long it = 0; it < runs; ++it) {
        std::string input = corpus[random() % corpus.size()];
        const std::size_t mutations = 1 + random() % maxMutations;
        for (std::size_t n = 0; n < mutations; ++n)
            mutate(&random, &input);
        run(input);
    }
    std::printf("%zu inputs and %lu mutations\n", corpus.size(), runs);
    return 0;
}
