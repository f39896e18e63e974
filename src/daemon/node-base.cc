#include "figcleat/daemon/node-base.h"

#include "figcleat/core/log.h"

namespace figcleat
{

node_base::node_base(node_context context)
    : m_settings(std::move(context.settings))
    , m_dialect(context.language)
    , m_loop(context.eventLoop)
    , m_time(context.time)
    , m_random(context.random)
    , m_incarnation { context.random | 1U }
    , m_self { toString(socket_address { m_settings.ip, m_settings.mailboxPort }) }
    , m_startedAt(m_time->now())
    , m_links(m_settings.seeds, m_self, m_startedAt)
{
}

expected<void> node_base::openMailbox()
{
    auto messages = messenger::open(*m_loop, *m_time, m_self, m_incarnation,
                                    [this](const envelope &received) { receive(received); });
    if (!messages) {
        return tl::unexpected<error>(messages.error());
    }
    m_messenger = std::move(*messages);
    return {};
}

expected<void> node_base::openMetrics()
{
    if (!m_settings.metrics) {
        return {};
    }
    auto server = reply_server::open(m_loop->base(), *m_settings.metrics, part::report, "metrics",
                                     [this](const http_request &request) { return answerMetrics(request); });
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    m_metrics = std::move(*server);
    return {};
}

time_point node_base::now() const
{
    return m_time->now();
}

void node_base::reload(const forward::node_settings &settings)
{
    m_settings.seeds = settings.seeds;
    m_links.setSeeds(settings.seeds, now());
    logFor(part::settings)->info("event=reload seeds={}", settings.seeds.size());
}

void node_base::pollCoordinators(revision_number revision, const std::vector<group::group_membership> &seat,
                                 const std::vector<target_id> &doubted)
{
    m_links.forgetSilent(now());
    for (const auto &[address, link] : m_links.links()) {
        m_messenger->send(address,
                          forward::node_poll { m_settings.vm, m_settings.dataCentre, m_settings.role, link.incarnation,
                                               link.directoryVersion, link.contactsChecksum, revision, seat, doubted,
                                               true });
    }
}

std::optional<forward::http_answer> node_base::answerOperator(const http_request & /*request*/)
{
    return std::nullopt;
}

forward::http_answer node_base::answerMetrics(const http_request &request)
{
    constexpr int okStatus = 200;
    constexpr int methodNotAllowed = 405;
    if (auto answer = answerOperator(request); answer) {
        return std::move(*answer);
    }
    if (request.method != "GET") {
        return { methodNotAllowed, {}, {} };
    }
    report::metrics_text page;
    const auto seconds = [](duration time) { return std::chrono::duration<double>(time).count(); };
    page.gauge("figcleat_uptime_seconds", "Time since the start of the process.", {}, seconds(now() - m_startedAt));
    page.gauge("figcleat_coordinators_heard", "Coordinators that answered lately.", {},
               static_cast<double>(m_links.heardWithin(coordinatorSilence, now())));
    page.gauge("figcleat_view_age_seconds", "Time since a coordinator was heard last.", {},
               seconds(now() - m_links.lastHeard().value_or(m_startedAt)));
    m_messenger->writeMetrics(page);
    writeMetrics(page);
    return { okStatus, { { "Content-Type", report::metricsContentType } }, page.text() };
}

} // namespace figcleat
