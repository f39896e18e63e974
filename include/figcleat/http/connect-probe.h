#pragma once

#include "figcleat/core/clock.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace figcleat
{

/** Opens connections and closes them at once, to see whether anything listens at an address. */
class connect_probe
{
public:
    using result_function = std::function<void(bool isListening)>;

    explicit connect_probe(event_base *loop);
    ~connect_probe();
    connect_probe(const connect_probe &) = delete;
    connect_probe &operator=(const connect_probe &) = delete;

    /**
     * Calls `onResult` from the loop: false if the connection was refused or not accepted within `timeout`, or if the
     * address cannot be used.
     *
     * @param address "IP:port"
     */
    void start(const std::string &address, duration timeout, result_function onResult);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace figcleat
