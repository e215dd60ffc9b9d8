#ifndef GV_STATE_FIXTURE_H
#define GV_STATE_FIXTURE_H

#include <glib.h>

#include "state.h"

/*
 * A bootstrapped state with the teams a and b (weight 1) and the worker w. The
 * functions below encode one command, apply it and leave its result in
 * f->result.
 */

/* 2026-01-31 23:59:59 UTC, one second before the next month begins. */
#define WALL_MS INT64_C(1769903999000)
#define HOUR_MS INT64_C(3600000)

struct fixture {
    struct state *s;
    struct state_result result; /* of the last applied command */
    struct buf cmd;        /* the next command; fixture_apply empties it */
    struct state_actor by; /* sender of the commands; the system at first */
};

/* Applies f->cmd at the next index. */
void
fixture_apply(struct fixture *f);
/* Sets the list of teams; each character of names is one team's name. */
void
fixture_set_teams(struct fixture *f, uint64_t version, const char *names);
/* Returns the key's id, or 0 if the command was not applied. hash_byte is the
 * first byte of the key's hash. */
uint64_t
fixture_add_key(struct fixture *f, enum state_key_kind kind, const char *team,
                uint8_t hash_byte);
void
fixture_setup(struct fixture *f, gconstpointer data);
void
fixture_teardown(struct fixture *f, gconstpointer data);

/* Replaces the state by the one decoded from its snapshot. */
void
fixture_reload(struct fixture *f);

/* Submits a batch job of one task for team 1. Returns the job's number, or 0
 * if the command was not applied. digest is the first byte of the body's. */
uint64_t
fixture_put_job(struct fixture *f, const char *name, bool idempotent,
                uint8_t digest);

/* Place task 0 of a job on worker 1, or end the task that holds a lease
 * (exit code 3). They return why the item was rejected, or
 * STATE_REASON_NONE. */
enum state_reason
fixture_place_task(struct fixture *f, uint64_t job, uint64_t incarnation,
                   uint64_t lease);
enum state_reason
fixture_end_task(struct fixture *f, uint64_t lease,
                 enum state_task_outcome outcome);

/* Reports cpu_ms as the lease's usage since it began. */
void
fixture_add_usage(struct fixture *f, uint64_t lease, uint64_t cpu_ms);

/* Begins a request of team 1 accepted by the entry "vm". Returns the record's
 * number, or 0 if the command was not applied. */
uint64_t
fixture_begin_request(struct fixture *f, const char *key);

/* Finishes the request with a response body of 6 bytes. */
void
fixture_store_response(struct fixture *f, const char *key, uint64_t number);

/* Registers a test that gets a new fixture. */
void
fixture_add_test(const char *path,
                 void (*test)(struct fixture *, gconstpointer));

#endif
