#include "figcleat/cli/operator-client.h"

#include "figcleat/daemon/loop.h"
#include "figcleat/http/client.h"

#include <optional>

namespace figcleat::cli
{

namespace
{

constexpr attempt_id onlyCall { { 1 }, { 1 } };
/** Far above the longest report, so that an entry in trouble does not take the operator's memory. */
constexpr std::uint64_t maxAnswerBytes = std::uint64_t { 64 } * 1024 * 1024;

/** Gathers the one answer and ends the loop. */
class answer_collector : public http_client_handler
{
public:
    explicit answer_collector(loop &eventLoop)
        : m_loop(&eventLoop)
    {
    }

    void onAnswerStart(attempt_id /*attempt*/, int status, const http_headers & /*headers*/) override
    {
        m_status = status;
    }

    void onBytes(attempt_id /*attempt*/, std::string_view bytes) override
    {
        m_body += bytes;
    }

    void onAnswerEnd(attempt_id /*attempt*/) override
    {
        m_whole = true;
        m_loop->stop();
    }

    void onFailure(attempt_id /*attempt*/, bool /*notSent*/) override
    {
        m_loop->stop();
    }

    [[nodiscard]] std::optional<raw_answer> answer() const
    {
        return m_whole ? std::optional(raw_answer { m_status, m_body }) : std::nullopt;
    }

private:
    loop *m_loop;
    int m_status = 0;
    std::string m_body;
    bool m_whole = false;
};

expected<operator_answer> toJson(const expected<raw_answer> &answer, const socket_address &entry)
{
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (!body.is_object()) {
        return fail(result_code::entry_unreachable, toString(entry) + " gives no JSON");
    }
    return operator_answer { answer->httpStatus, std::move(body) };
}

} // namespace

operator_client::operator_client(socket_address entry, std::string credential, duration timeout)
    : m_entry(std::move(entry))
    , m_credential(std::move(credential))
    , m_timeout(timeout)
{
}

expected<operator_answer> operator_client::get(const std::string &path) const
{
    return toJson(call("GET", path, {}), m_entry);
}

expected<operator_answer> operator_client::post(const std::string &path, const std::string &body) const
{
    return toJson(call("POST", path, body), m_entry);
}

expected<std::string> operator_client::getText(const std::string &path) const
{
    auto answer = call("GET", path, {});
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    constexpr int success = 200;
    constexpr int unauthorized = 401;
    if (answer->httpStatus != success) {
        const bool credential = answer->httpStatus == unauthorized;
        return fail(credential ? result_code::operator_credential_wrong : result_code::not_found, path);
    }
    return std::move(answer->body);
}

expected<raw_answer> operator_client::call(const std::string &method, const std::string &path,
                                           const std::string &body) const
{
    loop eventLoop;
    answer_collector collector(eventLoop);
    {
        http_client client(
            eventLoop.base(), m_entry.ip, m_entry.port,
            { .firstByteTimeout = m_timeout, .progressTimeout = m_timeout, .maxBodyBytes = maxAnswerBytes }, collector);
        client.start(onlyCall, { method, path, { { "Authorization", "Bearer " + m_credential } }, body });
        eventLoop.run();
    }
    auto answer = collector.answer();
    if (!answer) {
        return fail(result_code::entry_unreachable, toString(m_entry) + " gives no answer");
    }
    return std::move(*answer);
}

} // namespace figcleat::cli
