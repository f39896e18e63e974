#include "figcleat/daemon/operator-api.h"

#include "figcleat/core/log.h"
#include "figcleat/report/metrics-text.h"
#include "figcleat/report/render.h"
#include "figcleat/settings/configuration.h"

namespace figcleat
{

namespace
{

constexpr int statusOk = 200;
constexpr std::string_view dataCentresPath = "/data-centres/";
constexpr std::string_view burnPath = "/report/burn";
constexpr std::string_view votersPath = "/voters/";

nlohmann::json toJson(const std::vector<problem> &problems)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &found : problems) {
        list.push_back({ { "code", static_cast<int>(found.code) },
                         { "name", describe(found.code).name },
                         { "line", found.line },
                         { "key", found.key },
                         { "detail", found.detail } });
    }
    return list;
}

} // namespace

expected<std::unique_ptr<operator_api>> operator_api::open(loop &eventLoop, const entry_settings &settings,
                                                           operator_backend &backend)
{
    auto opened = std::unique_ptr<operator_api>(new operator_api(settings, backend));
    auto server
        = http_server::open(eventLoop.base(), settings.operatorAddress.ip, settings.operatorAddress.port, {}, *opened);
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    opened->m_server = std::move(*server);
    return opened;
}

operator_api::operator_api(const entry_settings &settings, operator_backend &backend)
    : m_credential(settings.operatorCredential)
    , m_backend(&backend)
{
}

void operator_api::closeAfterAnswers()
{
    m_server->closeAfterAnswers();
}

void operator_api::closeUnused()
{
    m_server->closeUnused();
}

bool operator_api::isInUse() const
{
    return m_server->isInUse();
}

bool operator_api::isOperator(const http_request &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view given = findHeader(request.headers, "Authorization");
    return given.starts_with(scheme) && equalInConstantTime(sha256(given.substr(scheme.size())), m_credential);
}

void operator_api::onRequest(exchange_id exchange, http_request request)
{
    const bool isRead = request.method == "GET";
    if (isRead && request.path == "/metrics") {
        m_server->reply(exchange, statusOk, { { "Content-Type", report::metricsContentType } }, m_backend->metrics());
        return;
    }
    if (!isOperator(request)) {
        sendError(exchange, result_code::operator_credential_wrong, "Authorization");
        return;
    }
    if (isRead && request.path == "/status") {
        sendJson(exchange, statusOk, m_backend->status());
    } else if (isRead && request.path == "/configuration") {
        const auto &held = m_backend->inForce();
        sendJson(exchange, statusOk,
                 { { "revision", held.revision.value }, { "number", held.number }, { "content", held.content } });
    } else if (isRead && request.path == "/usage") {
        readUsage(exchange);
    } else if (isRead && request.path.starts_with(burnPath)) {
        readBurn(exchange, request.path);
    } else if (!isRead && request.path == "/configuration") {
        apply(exchange, request);
    } else if (!isRead && request.path.starts_with(dataCentresPath)) {
        setDataCentre(exchange, request.path);
    } else if (!isRead && request.path.starts_with(votersPath)) {
        changeVoters(exchange, request);
    } else {
        sendError(exchange, result_code::not_found, request.path);
    }
}

void operator_api::apply(exchange_id exchange, const http_request &request)
{
    const auto config = parseConfiguration(request.body, "configuration");
    if (!config) {
        nlohmann::json body { { "code", static_cast<int>(result_code::configuration_invalid) },
                              { "name", describe(result_code::configuration_invalid).name },
                              { "detail", "refused entirely" },
                              { "problems", toJson(config.error()) } };
        sendJson(exchange, describe(result_code::configuration_invalid).httpStatus, body);
        return;
    }
    agreed::submit_configuration file;
    file.number = config->number;
    file.content = request.body;
    for (const auto &known : config->dataCentres) {
        file.dataCentres.push_back(known.name);
    }
    m_backend->propose(std::move(file), [this, exchange](result_code code, const agreed::outcome &result) {
        sendOutcome(exchange, code, result);
    });
}

void operator_api::setDataCentre(exchange_id exchange, const std::string &path)
{
    const std::string rest = path.substr(dataCentresPath.size());
    const auto slash = rest.find('/');
    const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (verb != "out" && verb != "in") {
        sendError(exchange, result_code::not_found, path);
        return;
    }
    const data_centre_id name { rest.substr(0, slash) };
    const bool out = verb == "out";
    const auto config = parseConfiguration(m_backend->inForce().content, "configuration in force");
    if (!config || findDataCentre(*config, name) == nullptr) {
        sendError(exchange, result_code::unknown_data_centre, name.value);
        return;
    }
    // An operator inside a data centre that is cut off is obeyed at once; the agreed state follows if it can.
    const bool local = m_backend->overrideLocally(name, out);
    m_backend->propose(agreed::set_data_centre { name, !out },
                       [this, exchange, local](result_code code, const agreed::outcome &result) {
                           if (code == result_code::agreement_unavailable && local) {
                               sendJson(exchange, statusOk,
                                        { { "code", 0 }, { "name", "ok" }, { "detail", "in this data centre only" } });
                               return;
                           }
                           sendOutcome(exchange, code, result);
                       });
}

void operator_api::changeVoters(exchange_id exchange, const http_request &request)
{
    const std::string verb = request.path.substr(votersPath.size());
    if (verb != "add" && verb != "remove") {
        sendError(exchange, result_code::not_found, request.path);
        return;
    }
    m_backend->changeMembership(
        verb == "add", peer_address { request.body },
        [this, exchange](result_code code, const agreed::outcome &result) { sendOutcome(exchange, code, result); });
}

void operator_api::readUsage(exchange_id exchange)
{
    m_backend->readUsage([this, exchange](result_code code, const std::vector<agreed::usage_row> &rows) {
        if (code != result_code::ok) {
            sendError(exchange, code, "usage");
            return;
        }
        nlohmann::json list = nlohmann::json::array();
        for (const auto &row : rows) {
            list.push_back({ { "workspace", row.workspace.value },
                             { "service", row.service.value },
                             { "requests", row.requests.count },
                             { "prompt_tokens", row.promptTokens.count },
                             { "generated_tokens", row.generatedTokens.count } });
        }
        sendJson(exchange, statusOk, { { "code", 0 }, { "name", "ok" }, { "usage", list } });
    });
}

void operator_api::readBurn(exchange_id exchange, const std::string &path)
{
    const std::string format = path.substr(burnPath.size());
    m_backend->readServiceLevels([this, exchange, format](const report::burn_report &found) {
        if (format == ".json") {
            m_server->reply(exchange, statusOk, { { "Content-Type", "application/json" } }, report::renderJson(found));
        } else if (format == ".html") {
            m_server->reply(exchange, statusOk, { { "Content-Type", "text/html; charset=utf-8" } },
                            report::renderHtml(found));
        } else {
            m_server->reply(exchange, statusOk, { { "Content-Type", "text/plain" } }, report::renderTable(found));
        }
    });
}

void operator_api::sendOutcome(exchange_id exchange, result_code code, const agreed::outcome &result)
{
    result_code told = code == result_code::ok ? result.code : code;
    if (told == result_code::agreement_unavailable) {
        // That code promises a caller that nothing was run; a command may still be in the log of a voter.
        told = result_code::command_uncertain;
    }
    const auto &info = describe(told);
    sendJson(exchange, told == result_code::ok ? statusOk : info.httpStatus,
             { { "code", static_cast<int>(told) },
               { "name", info.name },
               { "detail", result.detail.empty() ? std::string(info.meaning) : result.detail },
               { "revision", result.revision.value } });
}

void operator_api::sendJson(exchange_id exchange, int status, const nlohmann::json &body)
{
    m_server->reply(exchange, status, { { "Content-Type", "application/json" } },
                    body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

void operator_api::sendError(exchange_id exchange, result_code code, const std::string &detail)
{
    const auto &info = describe(code);
    sendJson(exchange, info.httpStatus,
             { { "code", static_cast<int>(code) }, { "name", info.name }, { "detail", detail } });
}

void operator_api::onCallerGone(exchange_id /*exchange*/)
{
}

void operator_api::onRejected(result_code code)
{
    logFor(part::http)->debug("An operator's request is refused: {}.", describe(code).name);
}

} // namespace figcleat
