#include "figcleat/daemon/engine-client.h"

#include "figcleat/core/log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figcleat
{

namespace
{

// An engine may think until the deadline of a call before its first byte; between pieces it may not.
constexpr duration firstByteTimeout = std::chrono::seconds(300);
constexpr duration progressTimeout = std::chrono::seconds(2);
constexpr duration probeTimeout = std::chrono::milliseconds(1500);
constexpr std::string_view endMark = "data: [DONE]";
constexpr std::string_view eventStream = "text/event-stream";
constexpr std::size_t maxProbeBytes = std::size_t { 64 } * 1024;
// Probes use attempts that no call has.
constexpr attempt_id healthProbe { { 0 }, { 0 } };
constexpr attempt_id leftoversProbe { { 0 }, { 1 } };

std::string nameOf(attempt_id attempt)
{
    return fmt::format("{:016x}-{}", attempt.entry.value, attempt.number.value);
}

std::int64_t countOf(std::string_view text, std::string_view what)
{
    std::int64_t count = 0;
    for (auto at = text.find(what); at != std::string_view::npos; at = text.find(what, at + what.size())) {
        ++count;
    }
    return count;
}

/** Tokens as the usual completion answer counts them; 0 for other answers. */
std::int64_t completionTokens(const std::string &body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    const auto usage = answer.is_object() ? answer.find("usage") : answer.end();
    if (!answer.is_object() || usage == answer.end() || !usage->is_object()) {
        return 0;
    }
    const auto tokens = usage->find("completion_tokens");
    return tokens != usage->end() && tokens->is_number_integer() ? tokens->get<std::int64_t>() : 0;
}

} // namespace

/** Calls in progress at the engine. */
class engine_client::calls : public http_client_handler
{
public:
    calls(loop &eventLoop, const socket_address &engine, event_function onEvent)
        : m_client(eventLoop.base(), engine.ip, engine.port,
                   { .firstByteTimeout = firstByteTimeout, .progressTimeout = progressTimeout }, *this)
        , m_onEvent(std::move(onEvent))
    {
    }

    void run(const target::run &what)
    {
        service_call call = what.call;
        call.headers.emplace_back("X-Figcleat-Attempt", nameOf(what.attempt));
        call.headers.emplace_back("X-Figcleat-Priority", std::to_string(what.priority));
        m_progress[what.attempt] = {};
        m_client.start(what.attempt, call);
    }

    void cancel(attempt_id attempt)
    {
        m_client.cancel(attempt);
        m_progress.erase(attempt);
    }

    [[nodiscard]] std::vector<attempt_id> inProgress() const
    {
        std::vector<attempt_id> attempts;
        for (const auto &[attempt, progress] : m_progress) {
            attempts.push_back(attempt);
        }
        return attempts;
    }

    void onAnswerStart(attempt_id attempt, int status, const http_headers &headers) override
    {
        auto &progress = m_progress[attempt];
        progress.isStream = findHeader(headers, "Content-Type").starts_with(eventStream);
        m_onEvent(target::engine_piece { attempt, static_cast<std::uint32_t>(status), headers, {} });
    }

    void onBytes(attempt_id attempt, std::string_view bytes) override
    {
        auto &progress = m_progress[attempt];
        // The mark may be split between two pieces.
        const std::string seam = progress.tail + std::string(bytes);
        progress.endMarked = progress.endMarked || seam.find(endMark) != std::string::npos;
        progress.tail = seam.substr(seam.size() - std::min(seam.size(), endMark.size() - 1));
        progress.tokens += countOf(bytes, "data: {");
        if (!progress.isStream && progress.body.size() + bytes.size() <= maxProbeBytes) {
            progress.body += bytes;
        }
        m_onEvent(target::engine_piece { attempt, 0, {}, std::string(bytes) });
    }

    void onAnswerEnd(attempt_id attempt) override
    {
        const auto progress = m_progress[attempt];
        m_progress.erase(attempt);
        const bool complete = !progress.isStream || progress.endMarked;
        const auto tokens = progress.isStream ? progress.tokens : completionTokens(progress.body);
        m_onEvent(target::engine_finished { attempt, complete, { tokens } });
    }

    void onFailure(attempt_id attempt, bool notSent) override
    {
        m_progress.erase(attempt);
        m_onEvent(target::engine_failed { attempt, notSent });
    }

private:
    struct progress
    {
        bool isStream = false;
        bool endMarked = false;
        std::string tail;
        std::int64_t tokens = 0;
        /** Start of an answer that is no stream, which tells its tokens itself. */
        std::string body;
    };

    http_client m_client;
    event_function m_onEvent;
    std::unordered_map<attempt_id, progress> m_progress;
};

/** Health of the engine and proofs that cancelled attempts have ended. */
class engine_client::probes : public http_client_handler
{
public:
    probes(loop &eventLoop, const socket_address &engine, bool cancelsLeftovers, const calls &running,
           event_function onEvent)
        : m_client(eventLoop.base(), engine.ip, engine.port,
                   { .firstByteTimeout = probeTimeout, .progressTimeout = probeTimeout, .maxBodyBytes = maxProbeBytes },
                   *this)
        , m_running(&running)
        , m_onEvent(std::move(onEvent))
        , m_leftoversEnded(!cancelsLeftovers)
    {
    }

    void addCancel(attempt_id attempt)
    {
        m_unproved.insert(attempt);
        sendCancel(attempt);
    }

    void tick()
    {
        if (!m_leftoversEnded) {
            send(leftoversProbe, { { "all", true } });
            return;
        }
        if (m_answers.emplace(healthProbe, answer {}).second) {
            m_client.start(healthProbe, { "GET", "/figcleat/health", {}, {} });
        }
        for (const auto &attempt : m_unproved) {
            sendCancel(attempt);
        }
    }

    void onAnswerStart(attempt_id attempt, int status, const http_headers & /*headers*/) override
    {
        m_answers[attempt].status = status;
    }

    void onBytes(attempt_id attempt, std::string_view bytes) override
    {
        auto &body = m_answers[attempt].body;
        if (body.size() + bytes.size() <= maxProbeBytes) {
            body += bytes;
        }
    }

    void onAnswerEnd(attempt_id attempt) override
    {
        const answer given = m_answers[attempt];
        m_answers.erase(attempt);
        const auto body = nlohmann::json::parse(given.body, nullptr, false);
        constexpr int success = 200;
        if (given.status != success || !body.is_object()) {
            return;
        }
        if (attempt == healthProbe) {
            takeHealth(body);
        } else if (attempt == leftoversProbe) {
            m_leftoversEnded = body.value("ended", false);
            tick();
        } else if (body.value("ended", false) && m_unproved.erase(attempt) > 0) {
            m_onEvent(target::engine_finished { attempt, false, {} });
        }
    }

    void onFailure(attempt_id attempt, bool /*notSent*/) override
    {
        m_answers.erase(attempt);
    }

private:
    struct answer
    {
        int status = 0;
        std::string body;
    };

    void sendCancel(attempt_id attempt)
    {
        send(attempt, { { "attempt", nameOf(attempt) } });
    }

    void send(attempt_id probe, const nlohmann::json &body)
    {
        if (m_answers.emplace(probe, answer {}).second) {
            m_client.start(probe,
                           { "POST", "/figcleat/cancel", { { "Content-Type", "application/json" } }, body.dump() });
        }
    }

    /** Calls that may have reached an engine after its restart and before this client noticed it. */
    [[nodiscard]] std::vector<attempt_id> mayRun() const
    {
        auto attempts = m_running->inProgress();
        attempts.insert(attempts.end(), m_unproved.begin(), m_unproved.end());
        return attempts;
    }

    void takeHealth(const nlohmann::json &body)
    {
        const auto found = body.find("incarnation");
        if (found == body.end() || !found->is_number_unsigned()) {
            return;
        }
        const incarnation_id seen { found->get<std::uint64_t>() };
        if (seen != m_engine) {
            m_engine = seen;
            logFor(part::target)->info("The engine runs as incarnation {:016x}.", seen.value);
            m_onEvent(target::engine_restarted { seen, mayRun() });
        }
    }

    http_client m_client;
    const calls *m_running;
    event_function m_onEvent;
    /** Work that an earlier process of this target left at the engine cannot run any more. */
    bool m_leftoversEnded;
    incarnation_id m_engine;
    std::set<attempt_id> m_unproved;
    std::unordered_map<attempt_id, answer> m_answers;
};

engine_client::engine_client(loop &eventLoop, const socket_address &engine, bool cancelsLeftovers,
                             event_function onEvent)
    : m_calls(std::make_unique<calls>(eventLoop, engine, onEvent))
    , m_probes(std::make_unique<probes>(eventLoop, engine, cancelsLeftovers, *m_calls, onEvent))
{
}

engine_client::~engine_client() = default;

void engine_client::run(const target::run &what)
{
    m_calls->run(what);
}

void engine_client::cancel(attempt_id attempt)
{
    m_calls->cancel(attempt);
    m_probes->addCancel(attempt);
}

void engine_client::tick()
{
    m_probes->tick();
}

} // namespace figcleat
