#ifndef GV_TEST_FAKE_WORKER_H
#define GV_TEST_FAKE_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/*
 * What a worker of the users' platform does with the calls that it receives,
 * without the connections. Times are in ms on the worker's clock, which starts
 * near 0 in each life. A worker starts whatever it is told to, even beyond its
 * capacity.
 *
 * The spec of a task is a list of words, each of which may be absent:
 * "run_ms=N" (300), "cpu=N" (500), "ticket=0" (the start needs no ticket) and
 * "checkpoint=N" (a run that is interrupted has saved N bytes).
 *
 * Three faults of the caller are printed to standard output, a line each:
 * "UNASKED ..." when a start has another checkpoint than the task, "TWICE ..."
 * when a task starts that still runs, or has ended "done", on any worker of
 * the process, and "LIMIT ..." when a start takes a worker over its capacity.
 * A run that is being stopped still counts in both.
 */
struct fake_worker;

enum {
    FAKE_WORKER_CPU = 4000, /* capacity of each worker */
    FAKE_WORKER_MEMORY_MB = 8192,
};

struct fake_reply {
    int status;
    json_t *body; /* the caller owns it */
};

/* The worker lives as long as the process. */
struct fake_worker *
fake_worker_create(const char *id);

/* Begins another life of the worker under its id. */
void
fake_worker_restart(struct fake_worker *w);

const char *
fake_worker_id(const struct fake_worker *w);
int64_t
fake_worker_clock(const struct fake_worker *w);
/* The Unix millisecond at which its life began. */
int64_t
fake_worker_born(const struct fake_worker *w);

/* Returns NULL if no worker of the process has the id. */
struct fake_worker *
fake_worker_find(const char *id);

/*
 * Each carries out a call. expected is the X-Expected-Instance header, or
 * empty. A hold that is accepted returns status 0 and no body: it is answered
 * with fake_worker_lists once an end is to be reported, or later.
 */
struct fake_reply
fake_worker_start(struct fake_worker *w, const char *expected,
                  const json_t *call);
struct fake_reply
fake_worker_stop(struct fake_worker *w, const char *expected,
                 const json_t *call);
struct fake_reply
fake_worker_hold(struct fake_worker *w, const char *expected,
                 const json_t *call);

/* Returns a reply of the status whose body has the worker's clock only. */
struct fake_reply
fake_worker_reply(const struct fake_worker *w, int status);

struct fake_reply
fake_worker_lists(const struct fake_worker *w);
bool
fake_worker_has_ends(const struct fake_worker *w);

/* Ends all runs, the last that started first, as done or interrupted. */
void
fake_worker_finish(struct fake_worker *w, bool done);

/* Adds that many running tasks and ends whose entries cannot be read. */
void
fake_worker_add_unreadable(struct fake_worker *w, int running, int ends);

/* Adds ends of count runs of jobs that nobody submitted. */
void
fake_worker_add_ends(struct fake_worker *w, int count);

/* Ends the runs that are due. */
void
fake_worker_step(struct fake_worker *w);

/* Writes a ticket for the step on the worker of that id to out. */
void
fake_worker_ticket(const char *id, const char *step, char *out, size_t size);

/* Sets how long stops take from now on. */
void
fake_worker_set_stop_ms(int64_t ms);

/* The number of runs that are being stopped, on all workers. */
size_t
fake_worker_stopping(void);

/* The number of starts that carried a checkpoint, on all workers. */
size_t
fake_worker_resumed(void);

#endif
