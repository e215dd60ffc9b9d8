/*
 * The phases of a graceful stop; see enum drain_phase.
 */
#include "clock.h"
#include "control.h"
#include "entry.h"
#include "leader.h"
#include "log.h"

enum {
    HANDOVER_TIMEOUT_MS = 2000, /* longer than an election */
    /* Time for the final report, which a change of leader may delay. */
    LEAVE_REPORT_TIMEOUT_MS = 1000,
    DRAIN_POLL_MS = 10, /* while waiting for requests and connections */
};

void
control_drain(struct control *c)
{
    if (c->drain != DRAIN_NONE) {
        return;
    }
    log_write(LOG_LEVEL_NOTICE, "drain: started; this VM reports not ready");
    /* Responses now carry Connection: close, so that callers with persistent
     * connections reconnect to other VMs. */
    front_drain(c->front);
    c->drain = DRAIN_NOTICE;
    c->drain_phase_end = c->now + c->settings->drain_notice_ms * NS_PER_MS;
    c->drain_deadline = c->now + c->settings->drain_deadline_ms * NS_PER_MS;
}

static void
enter_phase(struct control *c, enum drain_phase phase, int64_t ms)
{
    c->drain = phase;
    c->drain_phase_end = c->now + ms * NS_PER_MS;
}

static void
step_notice(struct control *c)
{
    if (c->drain_phase_end > c->now) {
        return;
    }
    log_write(LOG_LEVEL_NOTICE, "drain: waiting for requests in flight");
    front_stop_listening(c->front);
    front_close_idle(c->front);
    entry_end_long_polls(c->entry);
    enter_phase(c, DRAIN_FINISH, 0);
}

static void
step_finish(struct control *c)
{
    /* A request may still arrive on an open connection. The units are returned
     * only after the last connection is closed, because a request that arrives
     * afterwards would wait until its deadline. */
    if (front_connections(c->front) > 0 || !entry_idle(c->entry)) {
        return;
    }
    entry_drain(c->entry);
    enter_phase(c, DRAIN_HANDOVER, LEAVE_REPORT_TIMEOUT_MS);
}

static void
step_handover(struct control *c)
{
    bool recorded = entry_leave(c->entry);

    if (!recorded && c->drain_phase_end > c->now) {
        return;
    }
    if (c->leader != NULL && leader_transfer_leadership(c->leader) &&
        c->drain_phase_end + HANDOVER_TIMEOUT_MS * NS_PER_MS > c->now) {
        return;
    }
    log_write(LOG_LEVEL_NOTICE, "drain: done");
    c->drain = DRAIN_DONE;
}

void
drain_step(struct control *c)
{
    if (c->drain == DRAIN_NONE || c->drain == DRAIN_DONE) {
        return;
    }
    if (c->now >= c->drain_deadline) {
        log_write(LOG_LEVEL_ERR,
                  "drain: requests were still in flight at the deadline");
        c->exit_status = 1;
        c->drain = DRAIN_DONE;
        return;
    }
    if (c->leader != NULL) {
        leader_transfer_leadership(c->leader);
    }
    switch (c->drain) {
    case DRAIN_NOTICE:
        step_notice(c);
        break;
    case DRAIN_FINISH:
        step_finish(c);
        break;
    case DRAIN_HANDOVER:
        step_handover(c);
        break;
    case DRAIN_NONE:
    case DRAIN_DONE:
        break;
    }
}

int64_t
drain_next_deadline(const struct control *c)
{
    if (c->drain == DRAIN_NONE) {
        return DEADLINE_NONE;
    }
    return c->drain_phase_end > c->now ? c->drain_phase_end
                                       : c->now + DRAIN_POLL_MS * NS_PER_MS;
}
