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
 * The entry role of a VM: it serves callers, endpoints, workers, operators
 * and the platform, routes requests to endpoints, and forwards the rest of
 * the API to the leader.
 */
struct entry;

struct entry *
entry_create(struct control *c);
void
entry_destroy(struct entry *e);

/* An item of the HTTP server; takes it over. */
void
entry_handle_front_item(struct entry *e, struct front_item *item);

/* The end of an attempt at an endpoint; takes it over. */
void
entry_handle_upstream_result(struct entry *e, struct upstream_result *result);

/* Messages of the leader and of control VMs. */
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

/* A session ended: what was sent over it may be lost. */
void
entry_link_down(struct entry *e, const struct link *l);

/* Timers, reports and deadlines; once per wake-up. */
void
entry_step(struct entry *e);
int64_t
entry_next_deadline(const struct entry *e);

/* The link to the leader, or NULL. */
struct link *
entry_leader_link(const struct entry *e);

/* Whether this entry holds a configuration lease and so may serve. */
bool
entry_has_config_lease(const struct entry *e);

/*
 * Whether the load balancer should send requests here: entry_has_config_lease,
 * and since the start of the process the entry has once known every endpoint
 * and been granted units. The second part is waited for within a bounded time
 * only.
 */
bool
entry_is_ready(struct entry *e);

/* Ends long polls of jobs; from now on none waits. */
void
entry_end_long_polls(struct entry *e);

/* Drain: gives the units back; no request may come any more. */
void
entry_drain(struct entry *e);

/*
 * After a drain: tells the leader that this process sends nothing any more, so
 * that what it held is free at once. Returns true once that is recorded.
 */
bool
entry_leave(struct entry *e);
bool
entry_idle(const struct entry *e);

#endif
