#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/settings/problem.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace figcleat
{

/** Largest settings or configuration file, in bytes; it has to fit in one message between processes. */
inline constexpr std::size_t maxSettingsBytes = std::size_t { 1024 } * 1024;

/** Collects the problems of one file. */
class problem_list
{
public:
    explicit problem_list(std::string file);

    void add(result_code code, std::uint32_t line, std::string key, std::string detail);
    [[nodiscard]] bool empty() const;
    /** The problems in the order of their lines. */
    [[nodiscard]] std::vector<problem> take();

private:
    std::string m_file;
    std::vector<problem> m_problems;
};

enum class presence : std::uint8_t {
    required,
    optional,
};

/** Allowed values, both ends included. */
template<typename T>
struct value_range
{
    T least;
    T greatest;
};

/**
 * Reads the values of one table and reports what is wrong with them.
 *
 * Each `read` function leaves `out` as it is when the key is absent or its value is refused, and returns true
 * only if it set `out`. Call `finish` after the last read: it reports the keys that nobody asked for.
 *
 *     auto log = root.table("log");
 *     log.read("level", settings.logLevel, presence::optional);
 *     log.finish();
 */
class table_reader
{
public:
    table_reader(const toml::table &table, std::string path, problem_list &problems);

    bool read(std::string_view key, std::string &out, presence need = presence::required);
    bool read(std::string_view key, bool &out, presence need = presence::required);
    /** Open range: both ends are excluded. */
    bool readFraction(std::string_view key, double &out, presence need = presence::required);
    bool read(std::string_view key, digest &out, presence need = presence::required);
    bool read(std::string_view key, duration &out, value_range<duration> range, presence need = presence::required);
    bool read(std::string_view key, std::vector<std::string> &out, std::size_t most,
              presence need = presence::required);
    /** 1 to 64 characters of lower-case letters, digits, '.', '_' and '-'. */
    bool readName(std::string_view key, std::string &out, presence need = presence::required);

    template<typename Tag>
    bool readName(std::string_view key, text_id<Tag> &out, presence need = presence::required)
    {
        return readName(key, out.value, need);
    }

    template<typename T>
    bool readInteger(std::string_view key, T &out, value_range<std::int64_t> range, presence need = presence::required)
    {
        const auto found = integer(key, range, need);
        if (found) {
            out = static_cast<T>(*found);
        }
        return found.has_value();
    }

    [[nodiscard]] bool has(std::string_view key) const;
    /** Sub-table; nothing if it is absent or not a table. */
    [[nodiscard]] std::optional<table_reader> table(std::string_view key, presence need = presence::required);
    /** Elements of an array of tables, at most `most`; an absent key gives none. */
    [[nodiscard]] std::vector<table_reader> tables(std::string_view key, std::size_t most);

    /** Reports a problem at the line of `key`, or of the table where the key is absent. */
    void report(result_code code, std::string_view key, std::string detail);
    void finish();

private:
    const toml::node *find(std::string_view key, presence need);
    [[nodiscard]] std::optional<std::int64_t> integer(std::string_view key, value_range<std::int64_t> range,
                                                      presence need);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    void reportType(std::string_view key, std::string_view wanted);

    const toml::table *m_table;
    std::string m_path;
    problem_list *m_problems;
    std::set<std::string, std::less<>> m_known;
};

[[nodiscard]] bool isName(std::string_view text);
/** Text in quotes for a message, cut to 64 bytes, with control characters replaced. */
[[nodiscard]] std::string quote(std::string_view text);

/** Content of a file of at most `maxSettingsBytes`. */
[[nodiscard]] checked<std::string> readSettingsFile(const std::string &path);
/** Parses TOML; the parser stops at the first syntax error, so that there is at most one. */
[[nodiscard]] checked<toml::table> parseToml(std::string_view text, const std::string &fileName);

} // namespace figcleat
