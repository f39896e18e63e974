#pragma once

#include <istream>
#include <string>
#include <vector>

namespace figcleat::cli
{

/** A line of a node's log: `TIME LEVEL VM [part] event=NAME key=value ...`. */
struct log_line
{
    std::string time;
    std::string vm;
    std::string event;
    /** Everything after the part. */
    std::string text;

    /** Value of a key; empty if the line does not have it. */
    [[nodiscard]] std::string field(std::string_view key) const;
};

/** The lines of a log that have an event; others are left out. */
[[nodiscard]] std::vector<log_line> readLog(std::istream &in);

/**
 * The path of a request through the nodes, in order, with what was known of its targets and engines meanwhile and with
 * the cause of its end.
 *
 * Empty if no line names the request.
 */
[[nodiscard]] std::string explain(const std::vector<log_line> &log, const std::string &request);

} // namespace figcleat::cli
