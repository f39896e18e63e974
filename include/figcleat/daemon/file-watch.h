#pragma once

#include <cstdint>
#include <string>

namespace figcleat
{

/** Notices that the content of a file has changed; the file may be replaced or written in place. */
class file_watch
{
public:
    explicit file_watch(std::string path);

    /** True once after each change. A file that cannot be read has not changed. */
    [[nodiscard]] bool hasChanged();

private:
    std::string m_path;
    std::uint64_t m_checksum;
};

} // namespace figcleat
