#ifndef GV_CONTROL_IMPL_H
#define GV_CONTROL_IMPL_H

#include "control.h"

/* links.c */

/* Creates a link over a session, or, if that is NULL, to this process. */
struct link *
link_create(struct control *c, struct peer_session *session, struct str vm);

/* Frees all links and the unhandled messages of this process to itself. */
void
links_destroy(struct control *c);

/* Dispatches the messages that this process has sent to itself so far. */
void
links_dispatch_local(struct control *c);

/* Callbacks of the sessions with other processes. arg is struct control. */
void
links_session_up(void *arg, struct peer_session *session,
                 const struct peer_identity *identity);
void
links_session_frame(void *arg, struct peer_session *session,
                    struct str payload);
void
links_session_down(void *arg, struct peer_session *session,
                   enum peer_down_reason reason);

/* dispatch.c: decodes a message and passes it to the role that handles it. A
 * malformed message closes the session. */
void
dispatch_frame(struct control *c, struct link *from, struct str bytes);

/* control_start.c */

/* Adds a file descriptor to the control loop, which wakes up when it is
 * readable. Returns false with errno set on failure. */
bool
control_watch_fd(const struct control *c, int fd);

/* Starts all parts of the process. Logs an error and returns false on failure;
 * control_stop must be called in either case. */
bool
control_start(struct control *c);

/* Stops and frees the parts that were started. */
void
control_stop(struct control *c);

#endif
