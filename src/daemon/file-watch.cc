#include "figcleat/daemon/file-watch.h"

#include "figcleat/core/digest.h"

#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

namespace figcleat
{

namespace
{

std::optional<std::uint64_t> checksumOf(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return file ? std::optional(checksum(content.str())) : std::nullopt;
}

} // namespace

file_watch::file_watch(std::string path)
    : m_path(std::move(path))
    , m_checksum(checksumOf(m_path).value_or(0))
{
}

bool file_watch::hasChanged()
{
    const auto latest = checksumOf(m_path);
    return latest && std::exchange(m_checksum, *latest) != *latest;
}

} // namespace figcleat
