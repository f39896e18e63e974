#include "figcleat/cli/commands.h"

#include "figcleat/cli/explain.h"
#include "figcleat/cli/operator-client.h"
#include "figcleat/cli/tables.h"
#include "figcleat/core/process.h"
#include "figcleat/settings/configuration.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace figcleat::cli
{

namespace
{

namespace po = boost::program_options;

constexpr auto usage = R"(Usage: figcleat COMMAND [ARGUMENTS] [OPTIONS]

Commands
  check FILE            check a configuration file without an entry
  check-settings FILE   check a settings file of a process without an entry
  apply FILE            submit a configuration; accepted or refused as a whole
  status                what an entry knows of data centres, entries, voters and targets
  report burn           service levels, error budgets and burn alerts (--json, --html)
  usage                 use by workspace and service
  configuration         print the configuration in force
  drain DATA_CENTRE     take a data centre out of service
  restore DATA_CENTRE   bring a data centre back into service
  add-voter ADDRESS     open a seat for a new voter, named by its mailbox address
  remove-voter ADDRESS  take a voter out of the replicated log, by its mailbox address
  explain REQUEST [FILE...]  path of a request and the cause of its end, from logs of nodes (else standard input)

)";

struct arguments
{
    std::string command;
    std::string operand;
    /** Further operands; files of `explain`. */
    std::vector<std::string> files;
    std::string entry;
    std::string credentialFile;
    bool json = false;
    bool html = false;
};

po::options_description options(arguments &given)
{
    po::options_description known("Options");
    known.add_options()("entry,e", po::value(&given.entry)->default_value("127.0.0.1:7401"),
                        "operator address of any entry")(
        "credential-file", po::value(&given.credentialFile),
        "file with the operators' credential; else the variable FIGCLEAT_CREDENTIAL is used")(
        "json", po::bool_switch(&given.json), "print the answer as JSON")(
        "html", po::bool_switch(&given.html), "print a report as a page for a browser")("help,h", "show this text");
    return known;
}

int report(const error &problem)
{
    return reportProblem("figcleat", problem);
}

template<typename T>
int reportChecked(const checked<T> &parsed, const std::string &path)
{
    if (parsed) {
        std::cout << path << ": no problem found\n";
        return 0;
    }
    for (const auto &found : parsed.error()) {
        std::cerr << toString(found) << '\n';
    }
    return describe(parsed.error().front().code).exitStatus;
}

expected<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file) {
        return fail(result_code::settings_unreadable, path + ": the file cannot be read");
    }
    return content.str();
}

std::string credentialOf(const arguments &given)
{
    if (!given.credentialFile.empty()) {
        auto text = readFile(given.credentialFile).value_or("");
        text.erase(text.find_last_not_of("\r\n") + 1);
        return text;
    }
    const char *value = std::getenv("FIGCLEAT_CREDENTIAL");
    return value == nullptr ? "" : value;
}

int exitStatusOf(const operator_answer &answer)
{
    const auto code = static_cast<result_code>(answer.body.value("code", 0));
    return describe(code).exitStatus;
}

/** The meaning of `ok` is worded for callers' requests; an operator's command was accepted. */
std::string detailOf(const nlohmann::json &body)
{
    const std::string detail = body.value("detail", "");
    return detail == describe(result_code::ok).meaning ? "accepted" : detail;
}

/** Prints an answer that consists of a code and a detail. */
int printOutcome(const arguments &given, const expected<operator_answer> &answer)
{
    if (!answer) {
        return report(answer.error());
    }
    if (given.json) {
        std::cout << answer->body.dump(2) << '\n';
        return exitStatusOf(*answer);
    }
    const auto &body = answer->body;
    std::ostream &out = exitStatusOf(*answer) == 0 ? std::cout : std::cerr;
    out << body.value("name", "") << ": " << detailOf(body);
    if (body.value("revision", 0) != 0) {
        out << " (revision " << body.value("revision", 0) << ")";
    }
    out << '\n';
    for (const auto &found : body.value("problems", nlohmann::json::array())) {
        out << given.operand << ':' << found.value("line", 0) << ": " << found.value("key", "") << ": "
            << found.value("detail", "") << " (" << found.value("name", "") << ")\n";
    }
    return exitStatusOf(*answer);
}

int printRead(const arguments &given, const expected<operator_answer> &answer,
              std::string (*render)(const nlohmann::json &))
{
    if (!answer) {
        return report(answer.error());
    }
    if (given.json || exitStatusOf(*answer) != 0) {
        return printOutcome(given, answer);
    }
    std::cout << render(answer->body);
    return 0;
}

int printReport(const arguments &given, const operator_client &client)
{
    if (given.operand != "burn") {
        return report({ result_code::usage_error, "the only report is burn" });
    }
    const std::string format = given.html ? ".html" : given.json ? ".json" : "";
    const auto answer = client.getText("/report/burn" + format);
    if (!answer) {
        return report(answer.error());
    }
    std::cout << *answer;
    return 0;
}

int applyFile(const arguments &given, const operator_client &client)
{
    const auto content = readFile(given.operand);
    if (!content) {
        return report(content.error());
    }
    return printOutcome(given, client.post("/configuration", *content));
}

int runRemote(const arguments &given, const operator_client &client)
{
    if (given.command == "status") {
        return printRead(given, client.get("/status"), renderStatus);
    }
    if (given.command == "report") {
        return printReport(given, client);
    }
    if (given.command == "usage") {
        return printRead(given, client.get("/usage"), renderUsage);
    }
    if (given.command == "configuration") {
        return printRead(given, client.get("/configuration"),
                         [](const nlohmann::json &body) { return body.value("content", ""); });
    }
    if (given.command == "apply") {
        return applyFile(given, client);
    }
    if (given.command == "drain") {
        return printOutcome(given, client.post("/data-centres/" + given.operand + "/out", {}));
    }
    if (given.command == "restore") {
        return printOutcome(given, client.post("/data-centres/" + given.operand + "/in", {}));
    }
    if (given.command == "add-voter") {
        return printOutcome(given, client.post("/voters/add", given.operand));
    }
    if (given.command == "remove-voter") {
        return printOutcome(given, client.post("/voters/remove", given.operand));
    }
    return report({ result_code::usage_error, "unknown command " + given.command });
}

int explainRequest(const arguments &given)
{
    std::vector<log_line> log;
    if (given.files.empty()) {
        log = readLog(std::cin);
    }
    for (const auto &path : given.files) {
        std::ifstream file(path);
        if (!file) {
            return report({ result_code::settings_unreadable, path + ": the file cannot be read" });
        }
        const auto lines = readLog(file);
        log.insert(log.end(), lines.begin(), lines.end());
    }
    const auto text = explain(log, given.operand);
    if (text.empty()) {
        return report({ result_code::not_found,
                        "no line names request " + given.operand + "; of the answers in time one in 64 is logged" });
    }
    std::cout << text;
    return 0;
}

/** What a command needs as its operand; empty if it needs none. */
std::string_view operandOf(std::string_view command)
{
    if (command == "check" || command == "check-settings" || command == "apply") {
        return "FILE";
    }
    if (command == "drain" || command == "restore") {
        return "DATA_CENTRE";
    }
    if (command == "explain") {
        return "REQUEST";
    }
    return command == "add-voter" || command == "remove-voter" ? "ADDRESS" : "";
}

int runCommand(const arguments &given)
{
    if (const auto needed = operandOf(given.command); !needed.empty() && given.operand.empty()) {
        return report({ result_code::usage_error, given.command + " needs " + std::string(needed) });
    }
    // A seat for an address that no process can have would stay open for ever. Such a seat can still be removed.
    if (given.command == "add-voter" && !parseSocketAddress(given.operand)) {
        return report({ result_code::usage_error, given.operand + " is no address" });
    }
    if (given.command == "check") {
        return reportChecked(loadConfiguration(given.operand), given.operand);
    }
    if (given.command == "check-settings") {
        return reportChecked(loadDaemonSettings(given.operand), given.operand);
    }
    if (given.command == "explain") {
        return explainRequest(given);
    }
    const auto entry = parseSocketAddress(given.entry);
    if (!entry) {
        return report({ result_code::usage_error, given.entry + " is no address" });
    }
    return runRemote(given, operator_client(*entry, credentialOf(given), std::chrono::seconds(10)));
}

} // namespace

int run(int argc, char **argv)
{
    arguments given;
    const auto known = options(given);
    po::options_description all(known);
    all.add_options()("command", po::value(&given.command))("operand",
                                                            po::value(&given.operand))("file", po::value(&given.files));
    po::positional_options_description positions;
    positions.add("command", 1).add("operand", 1).add("file", -1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
        po::notify(values);
        if (values.count("help") > 0 || given.command.empty()) {
            std::cout << usage << known;
            return values.count("help") > 0 ? 0 : describe(result_code::usage_error).exitStatus;
        }
    } catch (const po::error &problem) {
        return report({ result_code::usage_error, problem.what() });
    }
    return runCommand(given);
}

} // namespace figcleat::cli
