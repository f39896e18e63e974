#include "figcleat/cli/operator-client.h"

#include "figcleat/daemon/loop.h"
#include "figcleat/http/client.h"

#include <optional>

namespace figcleat::cli
{

namespace
{

constexpr attempt_id onlyCall { { 1 }, { 1 } };

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

    [[nodiscard]] std::optional<operator_answer> answer() const
    {
        auto body = nlohmann::json::parse(m_body, nullptr, false);
        if (!m_whole || body.is_discarded()) {
            return std::nullopt;
        }
        return operator_answer { m_status, std::move(body) };
    }

private:
    loop *m_loop;
    int m_status = 0;
    std::string m_body;
    bool m_whole = false;
};

} // namespace

operator_client::operator_client(socket_address entry, std::string credential, duration timeout)
    : m_entry(std::move(entry))
    , m_credential(std::move(credential))
    , m_timeout(timeout)
{
}

expected<operator_answer> operator_client::get(const std::string &path) const
{
    return call("GET", path, {});
}

expected<operator_answer> operator_client::post(const std::string &path, const std::string &body) const
{
    return call("POST", path, body);
}

expected<operator_answer> operator_client::call(const std::string &method, const std::string &path,
                                                const std::string &body) const
{
    loop eventLoop;
    answer_collector collector(eventLoop);
    {
        http_client client(eventLoop.base(), m_entry.ip, m_entry.port, m_timeout, m_timeout, collector);
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
