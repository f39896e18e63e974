#include "figcleat/daemon/file-watch.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace figcleat;

namespace
{

void write(const std::filesystem::path &path, const std::string &content)
{
    std::ofstream(path) << content;
}

} // namespace

TEST_CASE("a settings file that changes without a signal is noticed once", "[settings]")
{
    const auto path = std::filesystem::temp_directory_path() / ("figcleat-watch-" + std::to_string(getpid()) + ".toml");
    write(path, "seeds = [1]");
    file_watch watch(path);
    CHECK_FALSE(watch.hasChanged());
    write(path, "seeds = [2]");
    CHECK(watch.hasChanged());
    CHECK_FALSE(watch.hasChanged());
    // Guards against a reload of half a file, or of none, while it is replaced.
    std::filesystem::remove(path);
    CHECK_FALSE(watch.hasChanged());
    write(path, "seeds = [3]");
    CHECK(watch.hasChanged());
    std::filesystem::remove(path);
}
