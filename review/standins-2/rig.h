#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/*
 * A small deployment of the project's own program on loopback addresses:
 * control and entry processes, started with the command of the deploy file and
 * settings like those that the platform fills into its template.
 */

enum {
    CONTROLS_MAX = 5,
    ENTRIES_MAX = 3,
    BODY_BYTES = 65536,
};

/* The bounds of a small site, in the unit of their names. */
struct bounds {
    int lease_max_ms;
    int heartbeat_ms;
    int job_keep_s;
    int grace_s;
};

struct rig {
    char dir[256];
    char program[4096];
    int port; /* the control and the caller port; the next ones are used too */
    int controls;
    int entries;
    pid_t control[CONTROLS_MAX];
    pid_t entry[ENTRIES_MAX];
    struct bounds bounds;
    FILE *record;
};

struct reply {
    int status; /* 0: no complete response */
    char body[BODY_BYTES];
};

int64_t
now_ms(void);

int64_t
wall_ms(void);

void
sleep_ms(int ms);

/* Appends a line with the time to the record. Thread-safe. */
void
record(struct rig *r, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns whether the deployment could be prepared: the folder, the program
 * and free ports. */
bool
rig_open(struct rig *r, const char *record_path, int controls, int entries);

/* Starts all processes. */
void
rig_start(struct rig *r);

void
rig_start_control(struct rig *r, int i);
void
rig_start_entry(struct rig *r, int i);
void
rig_kill_control(struct rig *r, int i);

/* Ends all processes that were started and removes the folder. */
void
rig_close(struct rig *r);

void
control_ip(int i, char out[32]);

/* Sends one request over a connection of its own. */
void
call(const char *ip, int port, const char *method, const char *path,
     const char *host, const char *body, int timeout_ms, struct reply *out);

/* Calls one control process after the other until one answers with a status
 * below 500, for at most wait_ms. */
bool
operator_call(struct rig *r, const char *method, const char *path,
              const char *body, int wait_ms, struct reply *out);

/* Calls an entry process. */
void
client_call(struct rig *r, int entry, const char *method, const char *path,
            const char *body, struct reply *out);

/* Submits a job as the pages say: the same id again after no response, 429,
 * 502, 503 or 504. Returns whether it was accepted within wait_ms. */
bool
submit_job(struct rig *r, const char *path, const char *body, int wait_ms);

/* Reads the state of a job; returns its status and copies the state. */
int
read_state(struct rig *r, int entry, const char *path, char state[32]);

#endif
