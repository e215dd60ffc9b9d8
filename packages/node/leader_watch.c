#include "leader_watch.h"

#include "clock.h"

enum {
    /* Without requests, a leader that runs is heard at least once in each
     * keepalive interval of a session, 300 ms. */
    IDLE_SILENCE_MS = 700,
    /* A leader answers a request once it is committed. A leader that is only
     * busy is heard within a keepalive interval, which ends the silence. */
    UNANSWERED_MS = 200,
};

void
leader_watch_heard(struct leader_watch *w, uint64_t session, int64_t at)
{
    if (w->session != session || at > w->heard_at) {
        *w = (struct leader_watch){.session = session, .heard_at = at};
    }
}

void
leader_watch_sent(struct leader_watch *w, int64_t now)
{
    if (w->sent_at == 0) {
        w->sent_at = now;
    }
}

bool
leader_watch_is_silent(const struct leader_watch *w, int64_t now)
{
    if (now - w->heard_at >= IDLE_SILENCE_MS * NS_PER_MS) {
        return true;
    }
    return w->sent_at != 0 && now - w->sent_at >= UNANSWERED_MS * NS_PER_MS;
}
