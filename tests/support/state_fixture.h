#ifndef GV_STATE_FIXTURE_H
#define GV_STATE_FIXTURE_H

#include <glib.h>

#include "state.h"

/* A state with the teams a and b and the worker w, for directed tests. */

/* 2026-01-31 23:59:59 UTC, so that a second later is another month. */
#define WALL INT64_C(1769903999000)
#define HOUR INT64_C(3600000)

struct fixture {
    struct state *s;
    struct state_result r;
    struct buf cmd;
    struct state_actor by;
};

void
fixture_apply(struct fixture *f);
void
fixture_set_teams(struct fixture *f, uint64_t version, const char *names);
uint64_t
fixture_add_key(struct fixture *f, enum state_key_kind kind, const char *team,
                uint8_t first_byte);
void
fixture_setup(struct fixture *f, gconstpointer data);
void
fixture_teardown(struct fixture *f, gconstpointer data);

/* Replaces the state by one that was read from its snapshot. */
void
fixture_restart(struct fixture *f);
uint64_t
fixture_put_job(struct fixture *f, const char *name, bool idempotent,
                uint8_t digest);

/* Returns the reason why the item was refused, or STATE_REASON_NONE. */
enum state_reason
fixture_place(struct fixture *f, uint64_t job, uint64_t incarnation,
              uint64_t lease);
enum state_reason
fixture_end(struct fixture *f, uint64_t lease,
            enum state_task_outcome outcome);
void
fixture_sample(struct fixture *f, uint64_t lease, uint64_t cpu_ms);
uint64_t
fixture_begin_key(struct fixture *f, const char *key);
void
fixture_store(struct fixture *f, const char *key, uint64_t number);
void
fixture_add(const char *path, void (*test)(struct fixture *, gconstpointer));

#endif
