#ifndef REVIEW_MINION_H
#define REVIEW_MINION_H

#include <stdbool.h>
#include <stdint.h>

#include "rig.h"

/*
 * Stand-ins of the minions, as PROTOCOL.md describes them: they announce
 * themselves, start, stop and list runs, hold a lease and check the fencing
 * token and the expected instance. A task runs for the N ms of the text
 * "run_ms=N" in its taskSpec, or until it is stopped if that says "lasts".
 * With "gang=N" it works only together with the others of its step. All
 * minions are served by one thread.
 *
 * They check the rule TWICE: that no two runs of a task are at work at the
 * same time, and that no run starts after one that has ended `done`, if that
 * end is taken note of then or later and the minion's lease has not lapsed in
 * between.
 */

enum {
    MINIONS_MAX = 8,
    ENDS_PER_LIST = 500,
};

struct minion_options {
    int cpu; /* in thousandths of a core */
    int memory_mb;
    const char *kind; /* its first label */
    const char *zone;
    int control; /* the control process that it announces itself to first */
};

struct minion_counts {
    int running;
    int listed_ends; /* not taken note of yet */
    int starts;      /* runs begun */
    int refused;     /* starts refused */
};

/* Starts the thread and the heartbeats. Returns false if there is no port. */
bool
minions_start(struct rig *r, const struct minion_options *options, int count);

void
minions_stop(void);

/* While a minion is cut off it neither receives nor sends anything, and runs
 * on. What was sent to it arrives afterwards, unless the sender has closed the
 * connection. */
void
minion_set_cut(int i, bool cut);

/* The process of the minion ends at once and for good: its address refuses
 * connections, and its runs are gone. */
void
minion_crash(int i);

/* A minion that has crashed starts again under its id, at its address, and
 * knows nothing of before. It announces itself at once. */
bool
minion_restart(int i);

/* A minion that is cut off crashes and starts again at once, under its id and
 * at its address. It announces itself when it is connected again. */
void
minion_restart_behind_cut(int i);

/* Begins to drain; after drain_ms the minion sends DELETE. Once that is
 * acknowledged it ends, and its address answers nothing more. */
void
minion_leave(int i, int drain_ms);

/* Returns whether the minion has ended after minion_leave(). */
bool
minion_has_left(int i);

void
minion_get_counts(int i, struct minion_counts *out);

/* How often the rule TWICE was broken. */
int
minions_violations(void);

/* The time at which a run of the task last began and last ended, or -1. */
void
minions_task_times(const char *task, int64_t *began, int64_t *ended,
                   bool *running);

#endif
