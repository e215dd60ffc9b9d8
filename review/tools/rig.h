#ifndef GV_REVIEW_RIG_H
#define GV_REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

/*
 * A small deployment on loopback: control VMs, entry nodes and one process of
 * stand-in workers. Each VM has an address of its own in 127/8 and all use the
 * same ports. All processes are killed by their ids when the program exits.
 *
 * The exit status of a case: 0 the rule held, 1 it was broken, 2 the case
 * could not run.
 */

enum {
    RIG_HELD = 0,
    RIG_BROKEN = 1,
    RIG_CANNOT_RUN = 2,
    RIG_CONTROLS_MAX = 8,
    RIG_ENTRIES_MAX = 4,
};

struct rig {
    char dir[256]; /* temporary folder */
    char net[32];  /* first three bytes of the addresses */
    int port;      /* of the APIs; the next ones: peers, probes, metrics */
    int controls;
    int entries;
    int worker_count;
    int lease_max_ms;  /* maxHoldMs */
    bool trouble;      /* TROUBLE is not 0 */
    bool started_once; /* the processes have run before */
    pid_t control_pids[RIG_CONTROLS_MAX];
    pid_t entry_pids[RIG_ENTRIES_MAX];
    pid_t workers_pid;
    int disks[RIG_CONTROLS_MAX]; /* empty data folders given so far */
};

struct rig_answer {
    int status; /* 0: no whole answer */
    json_t *body;
};

/* Sets up a temporary folder, free ports and the record. record is the path of
 * the record. Exits with RIG_CANNOT_RUN on failure. */
void
rig_init(struct rig *r, const char *record);

/* Starts all processes and waits until the first configuration is accepted. */
void
rig_start(struct rig *r, const char *config);
void
rig_start_control(struct rig *r, int i);
void
rig_start_entry(struct rig *r, int i);
/* Kills a control VM. With wipe, it is started with an empty data folder. */
void
rig_kill_control(struct rig *r, int i, bool wipe);
void
rig_signal_controls(struct rig *r, int sig);

/* Reaps a process that was killed or told to stop. Returns its wait status, -1
 * if it does not end in time. */
int
rig_reap(pid_t pid, int timeout_ms);

/* Ends all processes, removes the folder and exits with the status. */
void
rig_finish(struct rig *r, int status);

/* Ms of the monotonic clock since rig_init(). */
int64_t
rig_now(void);
void
rig_sleep(int ms);

/* Writes one line to the record, with the time. */
void
rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Prints the reason and finishes with RIG_CANNOT_RUN. */
void
rig_fail(struct rig *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Calls an API; thread-safe. host and key may be NULL. Retries of 5xx answers
 * and of calls without an answer are up to the caller.
 */
struct rig_answer
rig_call(const char *method, const char *url, const char *host,
         const char *key, const char *body, int timeout_ms);
void
rig_answer_free(struct rig_answer *a);

/* Writes the URL of a path at an entry node or a control VM. */
void
rig_entry_url(const struct rig *r, int i, const char *path, char *out,
              size_t size);
void
rig_control_url(const struct rig *r, int i, const char *path, char *out,
                size_t size);

/* Sends a configuration as the operator does: again, to the next control VM,
 * until it has a clear answer. Returns the status. */
int
rig_put_config(struct rig *r, const char *config);

/* Submits a job as a client does, up to five attempts. Returns the status of
 * the clear answer, 0 if there was none. */
int
rig_submit(struct rig *r, const char *host, const char *path, const char *key,
           const char *body);

/* Returns the job's state or NULL if there was no 200; *status is the last
 * status. Free with free(). */
char *
rig_job_state(struct rig *r, const char *host, const char *path,
              const char *key, int *status);

/* Returns the control VM that last logged that it leads. */
int
rig_find_leader(struct rig *r);

/* Returns how often the workers have recorded a line that contains all three
 * texts, which may be "". */
int
rig_count_worker_lines(const struct rig *r, const char *a, const char *b,
                       const char *c);

/* Returns how often a run of the task has started while another went on. */
int
rig_overlaps(const struct rig *r, const char *task);

/* Appends the lines of the workers' record that contain the text to the
 * record, at most max of them. */
void
rig_copy_worker_lines(const struct rig *r, const char *text, int max);

#endif
