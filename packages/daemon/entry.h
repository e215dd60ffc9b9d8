#ifndef GV_ENTRY_H
#define GV_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "front.h"
#include "upstream.h"
#include "wire.pb-c.h"

struct control;
struct link;

/*
 * The entry role of a VM. It accepts the HTTP calls of callers, endpoints,
 * workers, operators and the platform, routes requests to endpoints, and
 * forwards the other API calls to the leader.
 */
struct entry;

struct entry *
entry_create(struct control *c);
void
entry_destroy(struct entry *e);

/* Handles an item of the HTTP server and takes ownership of it. */
void
entry_handle_front_item(struct entry *e, struct front_item *item);

/* Handles the result of an attempt at an endpoint and takes ownership of it.
 */
void
entry_handle_upstream_result(struct entry *e, struct upstream_result *result);

/* Handle messages from the leader and, for the leader hint, from any control
 * VM. */
void
entry_handle_leader_hint(struct entry *e, const Wire__Leader *hint);
void
entry_handle_grant(struct entry *e, const Wire__EntryGrant *grant);
void
entry_handle_renewal_reply(struct entry *e, const Wire__RenewalReply *wire);
void
entry_handle_reply(struct entry *e, const Wire__Reply *reply);
void
entry_handle_begin_reply(struct entry *e, const Wire__BeginReply *reply);
void
entry_handle_end_reply(struct entry *e, const Wire__EndReply *reply);

/* Handles the end of a session: messages sent over it may be lost. */
void
entry_link_down(struct entry *e, const struct link *l);

/* Runs timers, sends reports and checks deadlines; called in each round of the
 * control loop. */
void
entry_step(struct entry *e);
int64_t
entry_next_deadline(const struct entry *e);

/* Returns the link to the leader, or NULL. */
struct link *
entry_leader_link(const struct entry *e);

/* Returns whether this entry holds a configuration lease, without which it
 * serves no requests. */
bool
entry_has_config_lease(const struct entry *e);

/*
 * Returns whether the load balancer should send requests here: the entry holds
 * a configuration lease and, at least once since the process started, has
 * known every endpoint and been granted units. The lease alone suffices once
 * the time of one endpoint lease and one configuration lease has passed since
 * the first grant.
 */
bool
entry_is_ready(struct entry *e);

/* Asks the leader for an immediate answer to the long polls for jobs. Called
 * when draining, where new long polls are forwarded without a wait. */
void
entry_end_long_polls(struct entry *e);

/* Returns all units to the leader. No request may arrive afterwards. */
void
entry_drain(struct entry *e);

/*
 * After entry_drain: reports to the leader that this process sends no more
 * requests, so that its units are free at once instead of when their lease
 * expires. Returns true once the leader has recorded this.
 */
bool
entry_leave(struct entry *e);
/* Returns whether no request, forwarded call or attempt is open. */
bool
entry_idle(const struct entry *e);

#endif
