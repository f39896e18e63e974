#include "figcleat/daemon/loop.h"

#include <event2/event.h>

namespace figcleat
{

namespace
{

void runTask(evutil_socket_t /*socket*/, short /*events*/, void *context)
{
    (*static_cast<loop::task *>(context))();
}

} // namespace

struct loop::registered
{
    task what;
    event *handle = nullptr;

    ~registered()
    {
        event_free(handle);
    }
};

loop::loop()
    : m_base(event_base_new())
{
}

loop::~loop()
{
    m_registered.clear();
    event_base_free(m_base);
}

event_base *loop::base() const
{
    return m_base;
}

void loop::every(duration period, task what)
{
    auto added = std::make_unique<registered>();
    added->what = std::move(what);
    added->handle = event_new(m_base, -1, EV_PERSIST, runTask, &added->what);
    triggerAfter(added->handle, period);
    m_registered.push_back(std::move(added));
}

void loop::onSignal(int number, task what)
{
    auto added = std::make_unique<registered>();
    added->what = std::move(what);
    added->handle = evsignal_new(m_base, number, runTask, &added->what);
    event_add(added->handle, nullptr);
    m_registered.push_back(std::move(added));
}

event *loop::deferred(task what)
{
    auto added = std::make_unique<registered>();
    added->what = std::move(what);
    added->handle = event_new(m_base, -1, 0, runTask, &added->what);
    m_registered.push_back(std::move(added));
    return m_registered.back()->handle;
}

void loop::trigger(event *later)
{
    event_active(later, EV_TIMEOUT, 0);
}

void loop::triggerAfter(event *later, duration delay)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(delay).count();
    const timeval interval { micros / 1'000'000, static_cast<suseconds_t>(micros % 1'000'000) };
    event_add(later, &interval);
}

void loop::run()
{
    event_base_dispatch(m_base);
}

void loop::stop()
{
    event_base_loopbreak(m_base);
}

} // namespace figcleat
