#ifndef GV_LEADER_WATCH_H
#define GV_LEADER_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Detects that the leader has stopped answering before its session times out.
 * A request that is sent to a leader without power, or to one that is paused
 * or cut off, has an unknown outcome: the leader may have acted on it. One
 * that is held back has certainly not run, and its caller may be told so.
 *
 * Sized for hundreds of calls a second while the leader fails.
 * All times are ns of the monotonic clock.
 */
struct leader_watch {
    uint64_t session; /* id of the session that is watched; 0: none */
    int64_t heard_at; /* when bytes last arrived on it */
    int64_t sent_at;  /* first request since then; 0: none was sent */
};

/* Records when bytes last arrived on the leader's session with that id. A
 * different session than before starts the watch anew. */
void
leader_watch_heard(struct leader_watch *w, uint64_t session, int64_t at);

/* Records that a request was sent on the session. */
void
leader_watch_sent(struct leader_watch *w, int64_t now);

/* Reports whether the leader is silent, so that requests are held back. */
bool
leader_watch_is_silent(const struct leader_watch *w, int64_t now);

#endif
