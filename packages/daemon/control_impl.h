#ifndef GV_CONTROL_IMPL_H
#define GV_CONTROL_IMPL_H

#include "control.h"

/* links.c */

/* A link over a session, or with NULL to this process. */
struct link *
link_create(struct control *c, struct peer_session *session, struct str vm);

/* Frees all links and what this process has sent to itself. */
void
links_destroy(struct control *c);

/* Handles what this process has sent to itself until now. */
void
links_dispatch_local(struct control *c);

/* Callbacks of the sessions with other processes; arg is the control. */
void
links_session_up(void *arg, struct peer_session *session,
                 const struct peer_identity *identity);
void
links_session_frame(void *arg, struct peer_session *session,
                    struct str payload);
void
links_session_down(void *arg, struct peer_session *session,
                   enum peer_down_reason reason);

/* dispatch.c: handles a message; a malformed one closes the session. */
void
dispatch_frame(struct control *c, struct link *from, struct str bytes);

/* control_start.c */

/* Has the loop wake up when the descriptor is readable. */
bool
control_watch_fd(const struct control *c, int fd);

/* Starts all parts; false after an error, which is logged. */
bool
control_start(struct control *c);
void
control_stop(struct control *c);

#endif
