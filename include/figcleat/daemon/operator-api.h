#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/core/digest.h"
#include "figcleat/daemon/loop.h"
#include "figcleat/http/server.h"
#include "figcleat/report/burn.h"
#include "figcleat/settings/daemon-settings.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

namespace figcleat
{

using decision_function = std::function<void(result_code, const agreed::outcome &)>;
using usage_function = std::function<void(result_code, const std::vector<agreed::usage_row> &)>;

using burn_function = std::function<void(const report::burn_report &)>;

/** What the operators' interface asks of the entry that serves it. */
class operator_backend
{
public:
    virtual ~operator_backend() = default;
    virtual void propose(agreed::command command, decision_function decide) = 0;
    virtual void changeMembership(bool add, const peer_address &voter, decision_function decide) = 0;
    virtual void readUsage(usage_function answer) = 0;
    /** Gathers the service-level summaries of all entries that answer in time. */
    virtual void readServiceLevels(burn_function answer) = 0;
    /** Takes the entry's own data centre out, or back, without a quorum; false for another data centre. */
    [[nodiscard]] virtual bool overrideLocally(const data_centre_id &dataCentre, bool out) = 0;
    [[nodiscard]] virtual const agreed::configuration_in_force &inForce() const = 0;
    [[nodiscard]] virtual nlohmann::json status() const = 0;
    [[nodiscard]] virtual std::string metrics() const = 0;
};

/**
 * HTTP interface for operators, on an address of its own.
 *
 * `POST /configuration` (TOML), `GET /configuration`, `POST /data-centres/NAME/out` and `/in`,
 * `POST /voters/add` and `/remove` (address as body), `GET /status`, `GET /usage`, `GET /metrics`,
 * `GET /report/burn`, `/report/burn.json` and `/report/burn.html`. All but
 * `/metrics` need the operators' credential. Answers are JSON with `code`, `name` and `detail`.
 */
class operator_api : private http_handler
{
public:
    [[nodiscard]] static expected<std::unique_ptr<operator_api>> open(loop &eventLoop, const entry_settings &settings,
                                                                      operator_backend &backend);

    /** Begins a planned stop: every further answer closes its connection. */
    void closeAfterAnswers();
    void closeUnused();
    /** True while an operator's call is received or has no answer. */
    [[nodiscard]] bool isInUse() const;

private:
    operator_api(const entry_settings &settings, operator_backend &backend);

    void onRequest(exchange_id exchange, http_request request) override;
    void onCallerGone(exchange_id exchange) override;
    void onRejected(result_code code) override;

    [[nodiscard]] bool isOperator(const http_request &request) const;
    void apply(exchange_id exchange, const http_request &request);
    void setDataCentre(exchange_id exchange, const std::string &path);
    void changeVoters(exchange_id exchange, const http_request &request);
    void readUsage(exchange_id exchange);
    void readBurn(exchange_id exchange, const std::string &path);
    void sendOutcome(exchange_id exchange, result_code code, const agreed::outcome &result);
    void sendJson(exchange_id exchange, int status, const nlohmann::json &body);
    void sendError(exchange_id exchange, result_code code, const std::string &detail);

    digest m_credential;
    operator_backend *m_backend;
    std::unique_ptr<http_server> m_server;
};

} // namespace figcleat
