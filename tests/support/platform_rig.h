#ifndef GV_TEST_PLATFORM_RIG_H
#define GV_TEST_PLATFORM_RIG_H

#include <stddef.h>
#include <sys/types.h>

/*
 * The whole path through platform/ on loopback: control VMs, entries, workers
 * with an approval service, and a client. Three of the control VMs are seeds;
 * the others join.
 */

enum {
    PLATFORM_CONTROLS_MAX = 5,
    PLATFORM_ENTRIES_MAX = 3,
    PLATFORM_GROUPS_MAX = 3, /* processes of workers */
    PLATFORM_WORKERS = 4,    /* of each such process */
    PLATFORM_SEEDS = 3,
    PLATFORM_WAIT_MS = 30000,
    PLATFORM_METRICS_PORT = 3, /* after the rig's first */
};

struct platform_rig {
    char *dir;
    int port; /* the first of those that this test uses */
    int controls;
    int entries;
    int groups;
    pid_t control[PLATFORM_CONTROLS_MAX];
    pid_t entry[PLATFORM_ENTRIES_MAX];
    pid_t workers[PLATFORM_GROUPS_MAX];
    struct http_client *client;
};

/* Starts all processes and puts the first configuration. */
void
platform_open(struct platform_rig *r, int controls, int entries, int groups);

/* Ends all processes; fails when a task ran twice. */
void
platform_close(struct platform_rig *r);

/* Starts a process again, or one more group of workers. */
void
platform_start_control(struct platform_rig *r, int i);
void
platform_start_entry(struct platform_rig *r, int i);
void
platform_start_workers(struct platform_rig *r, int i);

/* A configuration of that version, to be freed. */
char *
platform_config(int version);

/* URLs, to be freed. */
char *
platform_control_url(const struct platform_rig *r, int i, int port,
                     const char *path);
char *
platform_job_url(const struct platform_rig *r, int entry, int job);

/* Returns the status, 0 without a whole answer; copies the body, which ends
 * in a NUL, to out unless it is NULL. */
long
platform_call(struct platform_rig *r, const char *method, const char *url,
              const char *body, char *out, size_t out_size);
void
platform_await_status(struct platform_rig *r, const char *method,
                      const char *url, const char *body, long status);

/* The body of a job of two steps, the first of them a gang. */
extern const char platform_job[];

/* Hands a job in at an entry until it is accepted. */
void
platform_submit(struct platform_rig *r, int job);
void
platform_await_completed(struct platform_rig *r, int job);

#endif
