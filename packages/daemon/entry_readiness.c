#include "entry_readiness.h"

void
readiness_leader_changed(struct entry_readiness *r)
{
    r->deadline = 0;
    r->listed_seq = 0;
    r->report_answered = false;
}

bool
readiness_handle_grant(struct entry_readiness *r,
                       const struct readiness_grant *grant)
{
    if (r->deadline == 0) {
        r->deadline = grant->deadline;
    }
    /* The first grants contain no units: the entry has to know the services
     * before its reports can ask for units. */
    if (r->listed_seq != 0) {
        r->report_answered =
            r->report_answered || grant->report_seq > r->listed_seq;
        return false;
    }
    if (!grant->endpoints_complete) {
        return false;
    }
    r->listed_seq = grant->last_report_seq;
    return true;
}

bool
readiness_check(struct entry_readiness *r, int64_t now, uint32_t slots_held,
                uint32_t endpoints)
{
    bool timed_out = r->deadline != 0 && now >= r->deadline;
    bool granted = r->report_answered && (slots_held != 0 || endpoints == 0);

    r->was_ready = r->was_ready || timed_out || granted;
    return r->was_ready;
}
