#pragma once

#include "figcleat/core/clock.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace figcleat
{

/** The event loop of a process; everything that owns state runs on its thread. */
class loop
{
public:
    using task = std::function<void()>;

    loop();
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    [[nodiscard]] event_base *base() const;
    /** Runs the task on a period until the loop ends. */
    void every(duration period, task what);
    void onSignal(int number, task what);
    /** An event that runs its task once, after the events that are due now, each time it is triggered. */
    [[nodiscard]] event *deferred(task what);
    static void trigger(event *later);
    /** Triggers the event once after that time; a time that is set already is replaced. */
    static void triggerAfter(event *later, duration delay);
    void run();
    void stop();

private:
    struct registered;
    event_base *m_base;
    std::vector<std::unique_ptr<registered>> m_registered;
};

} // namespace figcleat
