#include <boost/program_options.hpp>
#include <csignal>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

/** Stand-in for a model engine or a plain service, for the demo and for tests on processes. */
namespace
{

struct standin_options
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    bool isEngine = true;
    int tokens = 20;
    int tokenMs = 5;
    int firstTokenMs = 20;
};

class standin;

struct running_call
{
    standin *owner = nullptr;
    evhttp_request *request = nullptr;
    event *timer = nullptr;
    std::string attempt;
    bool streaming = false;
    bool started = false;
    int produced = 0;
    int wanted = 0;
    std::string text;
};

class standin
{
public:
    standin(event_base *loop, standin_options options)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_incarnation(std::random_device {}() | 1U)
    {
    }

    bool listen()
    {
        evhttp *server = evhttp_new(m_loop);
        evhttp_set_allowed_methods(
            server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
        evhttp_set_gencb(
            server, [](evhttp_request *request, void *self) { static_cast<standin *>(self)->serve(request); }, this);
        return evhttp_bind_socket(server, m_options.ip.c_str(), m_options.port) == 0;
    }

private:
    static std::string header(evhttp_request *request, const char *name)
    {
        const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
        return value == nullptr ? "" : value;
    }

    static std::string bodyOf(evhttp_request *request)
    {
        evbuffer *input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        return body;
    }

    static void answer(evhttp_request *request, int status, const std::string &body)
    {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
        evhttp_send_reply(request, status, nullptr, nullptr);
    }

    void serve(evhttp_request *request)
    {
        const std::string path = evhttp_request_get_uri(request);
        if (path == "/figcleat/health") {
            answer(request, 200,
                   nlohmann::json { { "incarnation", m_incarnation }, { "running", m_calls.size() } }.dump());
        } else if (path == "/figcleat/cancel") {
            cancel(request);
        } else if (path == "/figcleat/executions") {
            answer(request, 200, nlohmann::json { { "started", m_started }, { "by_key", m_byKey } }.dump());
        } else if (m_options.isEngine) {
            complete(request);
        } else {
            book(request);
        }
    }

    /** Ends an attempt and bars it from starting later, so that the answer proves that it does not run. */
    void cancel(evhttp_request *request)
    {
        const auto body = nlohmann::json::parse(bodyOf(request));
        if (body.value("all", false)) {
            while (!m_calls.empty()) {
                m_barred.insert(m_calls.begin()->first);
                drop(*m_calls.begin()->second);
            }
            answer(request, 200, R"({"ended":true})");
            return;
        }
        const std::string attempt = body.value("attempt", "");
        m_barred.insert(attempt);
        if (const auto found = m_calls.find(attempt); found != m_calls.end()) {
            drop(*found->second);
        }
        answer(request, 200, R"({"ended":true})");
    }

    void book(evhttp_request *request)
    {
        ++m_started;
        const std::string key = header(request, "Idempotency-Key");
        const std::string body = bodyOf(request);
        const bool isRead = evhttp_request_get_command(request) == EVHTTP_REQ_GET;
        const int count = key.empty() ? 0 : ++m_byKey[key];
        const nlohmann::json result { { "booking", isRead ? 0 : ++m_bookings },
                                      { "key", key },
                                      { "executions_of_key", count },
                                      { "received_bytes", body.size() } };
        later(request, result.dump(), !isRead);
    }

    void later(evhttp_request *request, const std::string &body, bool slow)
    {
        auto &call = newCall(request);
        call.text = body;
        call.timer = evtimer_new(
            m_loop,
            [](evutil_socket_t, short, void *context) {
                auto *done = static_cast<running_call *>(context);
                answer(detach(*done), 200, done->text);
                done->owner->drop(*done);
            },
            &call);
        const timeval delay { 0, slow ? m_options.firstTokenMs * 1000 : 0 };
        evtimer_add(call.timer, &delay);
    }

    void complete(evhttp_request *request)
    {
        if (m_barred.contains(header(request, "X-Figcleat-Attempt"))) {
            answer(request, 409, R"({"error":"cancelled"})");
            return;
        }
        ++m_started;
        const auto body = nlohmann::json::parse(bodyOf(request), nullptr, false);
        auto &call = newCall(request);
        call.streaming = !body.is_discarded() && body.value("stream", false);
        call.wanted = std::min(m_options.tokens, body.is_discarded() ? 1 : body.value("max_tokens", m_options.tokens));
        call.timer = evtimer_new(
            m_loop,
            [](evutil_socket_t, short, void *context) {
                auto *running = static_cast<running_call *>(context);
                running->owner->produce(*running);
            },
            &call);
        wait(call, m_options.firstTokenMs);
    }

    running_call &newCall(evhttp_request *request)
    {
        auto call = std::make_unique<running_call>();
        call->owner = this;
        call->request = request;
        call->attempt = header(request, "X-Figcleat-Attempt");
        if (call->attempt.empty()) {
            call->attempt = "local-" + std::to_string(m_started);
        }
        auto &slot = m_calls[call->attempt];
        slot = std::move(call);
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection *, void *context) {
                auto *gone = static_cast<running_call *>(context);
                evhttp_request *left = std::exchange(gone->request, nullptr);
                // libevent leaves a request without a connection to its user.
                if (evhttp_request_get_connection(left) == nullptr) {
                    evhttp_request_free(left);
                }
                gone->owner->drop(*gone);
            },
            slot.get());
        return *slot;
    }

    /** The request leaves the call before its answer ends, since the connection may close later without it. */
    static evhttp_request *detach(running_call &call)
    {
        evhttp_connection_set_closecb(evhttp_request_get_connection(call.request), nullptr, nullptr);
        return std::exchange(call.request, nullptr);
    }

    static void wait(running_call &call, int millis)
    {
        const timeval delay { millis / 1000, (millis % 1000) * 1000 };
        evtimer_add(call.timer, &delay);
    }

    /** The text depends on the position only, so that a second run repeats the first. */
    static std::string word(int position)
    {
        return "tray" + std::to_string(position) + " ";
    }

    void produce(running_call &call)
    {
        if (call.produced < call.wanted) {
            const std::string next = word(call.produced++);
            call.text += next;
            if (call.streaming) {
                const nlohmann::json event { { "choices",
                                               { { { "index", 0 }, { "delta", { { "content", next } } } } } } };
                chunk(call, "data: " + event.dump() + "\n\n");
            }
            wait(call, m_options.tokenMs);
            return;
        }
        if (call.streaming) {
            chunk(call, "data: [DONE]\n\n");
            evhttp_send_reply_end(detach(call));
        } else {
            const nlohmann::json result {
                { "choices",
                  { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", call.text } } } } } },
                { "usage", { { "completion_tokens", call.produced } } }
            };
            answer(detach(call), 200, result.dump());
        }
        drop(call);
    }

    static void chunk(running_call &call, const std::string &bytes)
    {
        if (!std::exchange(call.started, true)) {
            evhttp_add_header(evhttp_request_get_output_headers(call.request), "Content-Type", "text/event-stream");
            evhttp_send_reply_start(call.request, 200, nullptr);
        }
        evbuffer *piece = evbuffer_new();
        evbuffer_add(piece, bytes.data(), bytes.size());
        evhttp_send_reply_chunk(call.request, piece);
        evbuffer_free(piece);
    }

    void drop(running_call &call)
    {
        if (call.timer != nullptr) {
            event_free(call.timer);
        }
        if (call.request != nullptr) {
            evhttp_connection *connection = evhttp_request_get_connection(call.request);
            detach(call);
            evhttp_connection_free(connection);
        }
        m_calls.erase(std::string(call.attempt));
    }

    event_base *m_loop;
    standin_options m_options;
    std::uint64_t m_incarnation;
    std::uint64_t m_started = 0;
    std::uint64_t m_bookings = 0;
    std::map<std::string, int> m_byKey;
    std::set<std::string> m_barred;
    std::map<std::string, std::unique_ptr<running_call>> m_calls;
};

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    standin_options options;
    std::string mode;
    po::options_description known("standin");
    known.add_options()("mode", po::value(&mode)->default_value("engine"), "engine or service")(
        "ip", po::value(&options.ip)->default_value(options.ip))("port", po::value(&options.port)->required())(
        "tokens", po::value(&options.tokens)->default_value(options.tokens))(
        "token-ms", po::value(&options.tokenMs)->default_value(options.tokenMs))(
        "first-token-ms", po::value(&options.firstTokenMs)->default_value(options.firstTokenMs));
    po::variables_map given;
    try {
        po::store(po::parse_command_line(argc, argv, known), given);
        po::notify(given);
    } catch (const po::error &problem) {
        std::cerr << problem.what() << '\n' << known;
        return 2;
    }
    options.isEngine = mode == "engine";
    event_base *loop = event_base_new();
    standin server(loop, options);
    if (!server.listen()) {
        std::cerr << "standin: cannot listen on port " << options.port << '\n';
        return 1;
    }
    event *stop = evsignal_new(
        loop, SIGTERM,
        [](evutil_socket_t, short, void *base) { event_base_loopbreak(static_cast<event_base *>(base)); }, loop);
    event_add(stop, nullptr);
    event_base_dispatch(loop);
    return 0;
}
