#include "figcleat/settings/toml-reader.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <spdlog/fmt/fmt.h>

namespace figcleat
{

namespace
{

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxQuotedBytes = 64;

struct unit
{
    std::string_view name;
    duration length;
};

constexpr std::array<unit, 5> units { {
    { "us", std::chrono::microseconds(1) },
    { "ms", std::chrono::milliseconds(1) },
    { "s", std::chrono::seconds(1) },
    { "m", std::chrono::minutes(1) },
    { "h", std::chrono::hours(1) },
} };

std::optional<duration> unitLength(std::string_view name)
{
    const auto *const found = std::find_if(units.begin(), units.end(), [&](const unit &u) { return u.name == name; });
    return found == units.end() ? std::nullopt : std::optional(found->length);
}

/** Nothing if the text is no whole number with a known unit. A value too long to represent gives the maximum. */
std::optional<duration> parseDuration(std::string_view text)
{
    std::uint64_t count = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), count);
    const auto length = unitLength(text.substr(static_cast<std::size_t>(end - text.data())));
    if (end == text.data() || !length) {
        return std::nullopt;
    }
    const auto most = static_cast<std::uint64_t>(duration::max() / *length);
    if (status != std::errc {} || count > most) {
        return duration::max();
    }
    return *length * static_cast<std::int64_t>(count);
}

std::string formatDuration(duration value)
{
    for (auto u = units.rbegin(); u != units.rend(); ++u) {
        if (value % u->length == duration::zero()) {
            return fmt::format("{}{}", value / u->length, u->name);
        }
    }
    return fmt::format("{}ns", value.count());
}

std::uint32_t lineOf(const toml::node &node)
{
    return node.source().begin.line;
}

std::vector<problem> oneProblem(result_code code, const std::string &file, std::uint32_t line, std::string detail)
{
    return { problem { code, file, line, "", std::move(detail) } };
}

} // namespace

std::string toString(const problem &found)
{
    std::string text = quote(found.file);
    text = text.substr(1, text.size() - 2);
    if (found.line != 0) {
        text += fmt::format(":{}", found.line);
    }
    if (!found.key.empty()) {
        text += fmt::format(": {}", found.key);
    }
    return fmt::format("{}: {} ({} {})", text, found.detail, static_cast<int>(found.code), describe(found.code).name);
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
}

std::string quote(std::string_view text)
{
    std::string result = "\"";
    for (const char c : text.substr(0, maxQuotedBytes)) {
        const auto byte = static_cast<unsigned char>(c);
        result += byte < 0x20 || byte == 0x7f ? '?' : c;
    }
    return result + (text.size() > maxQuotedBytes ? "...\"" : "\"");
}

problem_list::problem_list(std::string file)
    : m_file(std::move(file))
{
}

void problem_list::add(result_code code, std::uint32_t line, std::string key, std::string detail)
{
    m_problems.push_back(problem { code, m_file, line, std::move(key), std::move(detail) });
}

bool problem_list::empty() const
{
    return m_problems.empty();
}

std::vector<problem> problem_list::take()
{
    std::stable_sort(m_problems.begin(), m_problems.end(),
                     [](const problem &a, const problem &b) { return a.line < b.line; });
    return std::move(m_problems);
}

table_reader::table_reader(const toml::table &table, std::string path, problem_list &problems)
    : m_table(&table)
    , m_path(std::move(path))
    , m_problems(&problems)
{
}

std::string table_reader::pathOf(std::string_view key) const
{
    const std::string shown = isName(key) ? std::string(key) : quote(key);
    return m_path.empty() ? shown : m_path + "." + shown;
}

bool table_reader::has(std::string_view key) const
{
    return m_table->contains(key);
}

const toml::node *table_reader::find(std::string_view key, presence need)
{
    m_known.emplace(key);
    const toml::node *found = m_table->get(key);
    if (found == nullptr && need == presence::required) {
        report(result_code::settings_missing_value, key, "a value is required");
    }
    return found;
}

void table_reader::report(result_code code, std::string_view key, std::string detail)
{
    const toml::node *found = m_table->get(key);
    m_problems->add(code, lineOf(found != nullptr ? *found : *m_table), key.empty() ? m_path : pathOf(key),
                    std::move(detail));
}

void table_reader::reportType(std::string_view key, std::string_view wanted)
{
    report(result_code::settings_wrong_type, key, fmt::format("{} is required", wanted));
}

bool table_reader::read(std::string_view key, std::string &out, presence need)
{
    const toml::node *found = find(key, need);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_string()) {
        reportType(key, "a string");
        return false;
    }
    out = found->as_string()->get();
    return true;
}

bool table_reader::read(std::string_view key, bool &out, presence need)
{
    const toml::node *found = find(key, need);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_boolean()) {
        reportType(key, "true or false");
        return false;
    }
    out = found->as_boolean()->get();
    return true;
}

bool table_reader::readFraction(std::string_view key, double &out, presence need)
{
    const toml::node *found = find(key, need);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_number()) {
        reportType(key, "a number");
        return false;
    }
    const double value = found->value_or(0.0);
    // Written so that "nan" is refused too.
    if (!(value > 0.0 && value < 1.0)) {
        report(result_code::settings_out_of_range, key, fmt::format("{} is not between 0 and 1", value));
        return false;
    }
    out = value;
    return true;
}

bool table_reader::read(std::string_view key, digest &out, presence need)
{
    std::string text;
    if (!read(key, text, need)) {
        return false;
    }
    const auto parsed = parseDigest(text);
    if (!parsed) {
        // The value is not shown, since it may be a credential that was put here by mistake.
        report(result_code::settings_out_of_range, key, "a SHA-256 digest has 64 lower-case hexadecimal digits");
        return false;
    }
    out = *parsed;
    return true;
}

bool table_reader::read(std::string_view key, duration &out, value_range<duration> range, presence need)
{
    const toml::node *found = find(key, need);
    if (found == nullptr) {
        return false;
    }
    if (found->is_integer() || found->is_floating_point()) {
        report(result_code::settings_bad_unit, key, "a duration needs a unit, for example \"30s\"");
        return false;
    }
    std::string text;
    if (!read(key, text, need)) {
        return false;
    }
    const auto parsed = parseDuration(text);
    if (!parsed) {
        report(result_code::settings_bad_unit, key,
               fmt::format("{} is no whole number with one of the units us, ms, s, m, h", quote(text)));
        return false;
    }
    if (*parsed < range.least || *parsed > range.greatest) {
        report(result_code::settings_out_of_range, key,
               fmt::format("{} is not from {} to {}", quote(text), formatDuration(range.least),
                           formatDuration(range.greatest)));
        return false;
    }
    out = *parsed;
    return true;
}

bool table_reader::read(std::string_view key, std::vector<std::string> &out, std::size_t most, presence need)
{
    const toml::node *found = find(key, need);
    if (found == nullptr) {
        return false;
    }
    const toml::array *elements = found->as_array();
    if (elements == nullptr || !std::all_of(elements->begin(), elements->end(), [](const toml::node &element) {
            return element.is_string();
        })) {
        reportType(key, "an array of strings");
        return false;
    }
    if (elements->size() > most) {
        report(result_code::settings_out_of_range, key,
               fmt::format("{} elements, at most {} are allowed", elements->size(), most));
        return false;
    }
    out.clear();
    for (const toml::node &element : *elements) {
        out.push_back(element.as_string()->get());
    }
    return true;
}

bool table_reader::readName(std::string_view key, std::string &out, presence need)
{
    std::string text;
    if (!read(key, text, need)) {
        return false;
    }
    if (!isName(text)) {
        report(result_code::settings_out_of_range, key,
               fmt::format("{} is no name of 1 to {} lower-case letters, digits, '.', '_' and '-'", quote(text),
                           maxNameLength));
        return false;
    }
    out = std::move(text);
    return true;
}

std::optional<std::int64_t> table_reader::integer(std::string_view key, value_range<std::int64_t> range, presence need)
{
    const toml::node *found = find(key, need);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_integer()) {
        reportType(key, "an integer");
        return std::nullopt;
    }
    const std::int64_t value = found->as_integer()->get();
    if (value < range.least || value > range.greatest) {
        report(result_code::settings_out_of_range, key,
               fmt::format("{} is not from {} to {}", value, range.least, range.greatest));
        return std::nullopt;
    }
    return value;
}

std::optional<table_reader> table_reader::table(std::string_view key, presence need)
{
    const toml::node *found = find(key, need);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_table()) {
        reportType(key, "a table");
        return std::nullopt;
    }
    return table_reader(*found->as_table(), pathOf(key), *m_problems);
}

std::vector<table_reader> table_reader::tables(std::string_view key, std::size_t most)
{
    std::vector<table_reader> result;
    const toml::node *found = find(key, presence::optional);
    if (found == nullptr) {
        return result;
    }
    const toml::array *elements = found->as_array();
    if (elements == nullptr || !std::all_of(elements->begin(), elements->end(), [](const toml::node &element) {
            return element.is_table();
        })) {
        reportType(key, "an array of tables");
        return result;
    }
    if (elements->size() > most) {
        report(result_code::settings_out_of_range, key,
               fmt::format("{} tables, at most {} are allowed", elements->size(), most));
        return result;
    }
    for (const toml::node &element : *elements) {
        result.emplace_back(*element.as_table(), fmt::format("{}[{}]", pathOf(key), result.size()), *m_problems);
    }
    return result;
}

void table_reader::finish()
{
    for (const auto &[key, value] : *m_table) {
        if (!m_known.contains(key.str())) {
            report(result_code::settings_unknown_key, key.str(), "figcleat does not know this key");
        }
    }
}

checked<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::string text(maxSettingsBytes + 1, '\0');
    if (!in || (in.read(text.data(), static_cast<std::streamsize>(text.size())), in.bad())) {
        return tl::unexpected(oneProblem(result_code::settings_unreadable, path, 0, "the file cannot be read"));
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > maxSettingsBytes) {
        return tl::unexpected(oneProblem(result_code::settings_out_of_range, path, 0,
                                         fmt::format("the file has over {} bytes", maxSettingsBytes)));
    }
    return text;
}

checked<toml::table> parseToml(std::string_view text, const std::string &fileName)
{
    try {
        return toml::parse(text, std::string_view(fileName));
    } catch (const toml::parse_error &found) {
        return tl::unexpected(oneProblem(result_code::settings_syntax, fileName, found.source().begin.line,
                                         std::string(found.description())));
    }
}

} // namespace figcleat
