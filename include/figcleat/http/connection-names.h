#pragma once

#include "figcleat/http/server.h"

#include <string>
#include <string_view>
#include <vector>

namespace figcleat
{

/**
 * Names of headers that the Connection headers of a message list; these concern one connection only.
 *
 * A head may list thousands of names and have thousands of headers: to look all of them up takes time in proportion to
 * its bytes, up to a logarithm.
 */
class connection_names
{
public:
    explicit connection_names(const http_headers &headers);
    /** In any case of its letters. */
    [[nodiscard]] bool contains(std::string_view name) const;

private:
    /** In lower case and sorted. */
    std::vector<std::string> m_names;
};

} // namespace figcleat
