#ifndef REVIEW_CELL_H
#define REVIEW_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A deployment on loopback addresses for the scripts of the third review:
 * guavarockd processes, workers and an operator. The workers follow the
 * protocol page: leases on a clock of their own, fencing tokens, run numbers,
 * lists of ends that are kept until they are acknowledged. They start what
 * they are told to, as workers without an admission check do.
 *
 * What a task does is told by words in its taskSpec, which the callers of this
 * file choose: "run_ms=N" (0: it lasts until it is stopped), "cpu=N", "mem=N",
 * "fills=1" (its cpu does not count against the capacity), "warm_ms=N" (a
 * task that lasts is at work after that time) and "ckpt=N" (its checkpoint has
 * N bytes).
 */

enum {
    CELL_CONTROLS_MAX = 8,
    CELL_ENTRIES_MAX = 9,
    CELL_WORKERS_MAX = 64,
    CELL_CPU = 16000, /* capacity of a worker */
    CELL_MEMORY_MB = 32768,
};

struct cell_options {
    const char *record; /* path of record.txt */
    int controls;
    int entries;
    int workers;
};

/* Opens the record and chooses addresses; starts nothing. */
void
cell_init(const struct cell_options *options);

/* Ends all processes that were started, removes the temporary folder, writes
 * the result to the record and returns the exit status. */
int
cell_finish(int status);

/* Appends a line with the time since cell_init() to the record. */
void
cell_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

int64_t
cell_now_ms(void);
void
cell_sleep_ms(int64_t ms);

/* Whether the environment asks for the disruption: TROUBLE is not "0". */
bool
cell_trouble(void);

/* Returns a configuration with one service, one team with that limit and two
 * queues, /plain/ and /other/, with the figures of dye-batch and season-order
 * of the site but for their advice. Free with free(). */
char *
cell_config(int version, int64_t cpu_limit, int64_t memory_limit);

/* Waits until that many tasks of the job run; false if they do not. */
bool
cell_await_running(const char *id, int count, int64_t timeout_ms);

/* Processes of the system. first: bootstrap in the settings. */
void
cell_start_control(int i, bool first);
void
cell_start_entry(int i);
void
cell_signal_control(int i, int sig);
void
cell_signal_entry(int i, int sig);

/* Kills the process and waits for its end. */
void
cell_kill_control(int i);
void
cell_kill_entry(int i);

/* Returns the control VM whose log says that it became leader last and has not
 * said since that it leads no more, or -1. */
int
cell_find_leader(void);

/* Whether the process has ended by itself. */
bool
cell_control_ended(int i);

/* Starts all processes and workers, sends the configuration and waits until
 * the entries are ready. Exits with 2 if that takes too long. */
void
cell_start_all(const char *config);

/* Starts the thread that plays the workers 0 to count - 1. */
void
cell_start_workers(void);

/* The worker ends at once and does not come back. */
void
cell_crash_worker(int i);

/* Calls control VM or entry i. Returns the status, 0 if no whole response
 * came, and copies its body to out unless that is NULL. */
long
cell_call_control(int i, const char *method, const char *path,
                  const char *body, char *out, size_t out_size);
long
cell_call_entry(int i, const char *method, const char *path, const char *body,
                char *out, size_t out_size);

/* Sends the request to the entries in turn until it has a clear answer, and
 * records it; returns the status. */
long
cell_submit(const char *path, const char *body);

/* Gives the worker a GPU; call it before cell_start_workers(). */
void
cell_set_gpus(int worker, int gpus);

/* The worker answers starts with that status, and does nothing, until
 * cell_now_ms() has reached that time. */
void
cell_refuse_starts(int worker, int status, int64_t until_ms);

/* How many starts it has answered so. */
int
cell_refused_starts(int worker);

/* What the workers see of a job, by the 16 digits of its id. */
struct cell_job_view {
    int running;             /* runs now */
    int starts;              /* so far */
    int64_t last_running_ms; /* when a run of it was last there, or -1 */
    int on_worker;           /* of one of its runs, or -1 */
};

struct cell_job_view
cell_view_job(const char *id);

/* Sums over the workers that have not crashed. */
struct cell_fleet_view {
    int workers;
    int64_t cpu_used;
    int64_t memory_used;
    int64_t cpu;
    int64_t memory;
};

struct cell_fleet_view
cell_view_fleet(void);

/* Returns a worker without a running task whose spec contains the word, that
 * has not crashed, or -1. */
int
cell_worker_without(const char *word);

/* Counts running tasks on the worker whose spec contains the word. */
int
cell_count_on(int worker, const char *word);

#endif
