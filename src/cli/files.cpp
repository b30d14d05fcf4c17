#include "cli/files.h"

#include "config/load.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace figpulley::cli
{
namespace
{
namespace leaf = core::leaf;
namespace fs = std::filesystem;
using core::ErrorKind;

bool isOperatorsFile(const fs::path &path)
{
    return path.extension() == ".json" || path.extension() == ".jsonc";
}

// Lists the operators' files of a folder, sorted by name; the path of a file stands for itself.
std::vector<fs::path> listFiles(const std::string &path)
{
    std::vector<fs::path> paths;
    if (!fs::is_directory(path)) {
        return {path};
    }
    for (const auto &entry : fs::directory_iterator(path)) {
        if (entry.is_regular_file() && isOperatorsFile(entry.path())) {
            paths.push_back(entry.path());
        }
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}
} // namespace

leaf::result<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream) {
        return core::failure(ErrorKind::NotFound, fmt::format("cannot read {}", path));
    }
    return text.str();
}

leaf::result<std::vector<config::SourceFile>> readFiles(const std::vector<std::string> &paths)
{
    std::vector<config::SourceFile> files;
    for (const auto &path : paths) {
        for (const auto &file : listFiles(path)) {
            BOOST_LEAF_AUTO(text, readFile(file.string()));
            const auto name = file.filename().string();
            const bool isDuplicate =
                std::any_of(files.begin(), files.end(), [&](const config::SourceFile &other) { return other.name == name; });
            if (isDuplicate) {
                return core::failure(ErrorKind::InvalidFile, fmt::format("two files have the name {}", name));
            }
            files.push_back({name, std::move(text)});
        }
    }
    if (files.empty()) {
        return core::failure(ErrorKind::NotFound, "the given paths contain no .json or .jsonc files");
    }
    return files;
}

bool checkAndPrint(const std::vector<config::SourceFile> &files, bool isStrict)
{
    text::Problems problems;
    const auto configuration = config::load(files, problems);
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", text::describe(problem));
    }
    return configuration != nullptr && (!isStrict || problems.empty());
}
} // namespace figpulley::cli
