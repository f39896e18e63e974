#include "figcleat/core/result-code.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace figcleat;

namespace
{

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

// Guards against a table in the docs that differs from what the program answers.
TEST_CASE("docs/result-codes.md has exactly the rows of the program", "[core]")
{
    const std::string page = readFile(FIGCLEAT_SOURCE_DIR "/docs/result-codes.md");
    std::string rows;
    for (const auto &info : resultTable()) {
        rows += fmt::format("| {} | `{}` | `{}` | {} | {} | {} |\n", static_cast<int>(info.code), info.name,
                            toString(info.ran), info.httpStatus, info.exitStatus, info.meaning);
    }
    const auto start = page.find("| 0 |");
    REQUIRE(start != std::string::npos);
    CHECK(page.substr(start) == rows);
}

// Guards against a code that cannot be found because the table is not sorted.
TEST_CASE("every code finds its own row", "[core]")
{
    std::set<result_code> seen;
    for (const auto &info : resultTable()) {
        CHECK(describe(info.code).name == info.name);
        CHECK(seen.insert(info.code).second);
    }
}
