#include "figcleat/http/connection-names.h"

#include "case-insensitive.h"

#include <algorithm>

namespace figcleat
{

namespace
{

std::string lowered(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](char one) { return one >= 'A' && one <= 'Z' ? static_cast<char>(one - 'A' + 'a') : one; });
    return lower;
}

void appendNames(std::string_view list, std::vector<std::string> &to)
{
    constexpr std::string_view blanks = " \t";
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        auto name = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        name.remove_prefix(std::min(name.find_first_not_of(blanks), name.size()));
        name = name.substr(0, name.find_last_not_of(blanks) + 1);
        if (!name.empty()) {
            to.push_back(lowered(name));
        }
    }
}

} // namespace

connection_names::connection_names(const http_headers &headers)
{
    for (const auto &[name, value] : headers) {
        if (equalsIgnoringCase(name, "Connection")) {
            appendNames(value, m_names);
        }
    }
    std::sort(m_names.begin(), m_names.end());
}

bool connection_names::contains(std::string_view name) const
{
    return !m_names.empty() && std::binary_search(m_names.begin(), m_names.end(), lowered(name));
}

} // namespace figcleat
