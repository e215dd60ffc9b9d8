#ifndef GV_TEST_PLATFORM_RIG_H
#define GV_TEST_PLATFORM_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/*
 * A whole cluster behind the platform/ adapter on loopback: control VMs, entry
 * nodes, workers with an approval service, and a client. Three of the control
 * VMs are seeds; the others join.
 *
 * Control VM i has the address 127.0.7.(11 + i), entry node i 127.0.7.(20 + i)
 * and worker process i 127.0.7.(30 + i). The approval service is part of
 * worker process 0.
 */

enum {
    PLATFORM_CONTROLS_MAX = 7,
    PLATFORM_ENTRIES_MAX = 3,
    PLATFORM_WORKER_PROCESSES_MAX = 3,
    PLATFORM_WORKERS_PER_PROCESS = 4,
    PLATFORM_SEEDS = 3,
    PLATFORM_WAIT_MS = 30000,
    PLATFORM_METRICS_PORT_OFFSET = 3, /* added to port */
};

struct platform_rig {
    char *dir; /* holds settings, logs and data of all processes */
    int port;  /* the first of the ports that the test uses */
    /* Path of the queue that jobs are submitted to: "/orders/", or "/plain/",
     * whose tasks need no approval. */
    const char *queue;
    int controls;
    int entries;
    int worker_processes;
    /* Control VMs run as guavarockd_faulty: operations in the data directory
     * c<i> fail as the file c<i>.fault beside it says. */
    bool faulty_disks;
    int lease_max_ms;
    pid_t control[PLATFORM_CONTROLS_MAX];
    pid_t entry[PLATFORM_ENTRIES_MAX];
    pid_t workers[PLATFORM_WORKER_PROCESSES_MAX];
    struct http_client *client;
};

/* Starts all processes, puts configuration version 1 and waits until the entry
 * nodes are ready. */
void
platform_open(struct platform_rig *r, int controls, int entries,
              int worker_processes);

/* The same with faulty_disks. */
void
platform_open_faulty(struct platform_rig *r, int controls, int entries,
                     int worker_processes);

/* The same with workers' leases of up to that time instead of 4 s. */
void
platform_open_leases(struct platform_rig *r, int controls, int entries,
                     int worker_processes, int lease_max_ms);

/* Terminates all processes. Prints what worker processes 0 to 2 reported, and
 * fails if that is a second run of a task, a worker over its capacity, or a
 * start on a draining worker or in an evacuated zone. */
void
platform_close(struct platform_rig *r);

/* Each starts or restarts process i of its kind. */
void
platform_start_control(struct platform_rig *r, int i);
void
platform_start_entry(struct platform_rig *r, int i);
void
platform_start_workers(struct platform_rig *r, int i);

/* Returns a configuration with the version. Free with g_free(). */
char *
platform_config(int version);

/* Return the URL of a path on control VM i, at the rig's port + port_offset,
 * and of a job on an entry node. Free with g_free(). */
char *
platform_control_url(const struct platform_rig *r, int i, int port_offset,
                     const char *path);
char *
platform_job_url(const struct platform_rig *r, int entry, int job);

/* Makes an HTTP call with the key and host that platform_config() configures.
 * Returns the status, 0 without a complete response. Copies the body,
 * truncated and NUL-terminated, to out unless that is NULL. */
long
platform_call(struct platform_rig *r, const char *method, const char *url,
              const char *body, char *out, size_t out_size);

/* Returns the value of a metric of control VM i, 0 if it is absent, -1 if the
 * VM does not answer. */
long
platform_metric(struct platform_rig *r, int i, const char *name);

/* Repeats a call until it has the status; fails after PLATFORM_WAIT_MS. */
void
platform_await_status(struct platform_rig *r, const char *method,
                      const char *url, const char *body, long status);

/* The request body of a job with two steps, the first of which is a gang. */
extern const char platform_job[];

/* Each submits a job at entry node 0, repeatedly until it is accepted. */
void
platform_submit(struct platform_rig *r, int job);
void
platform_submit_body(struct platform_rig *r, int job, const char *body);

/* Waits until the job is completed; fails after PLATFORM_WAIT_MS, or if the
 * job is unknown. */
void
platform_await_completed(struct platform_rig *r, int job);

/* Sets a fault of worker process 0, whose source describes names, bodies and
 * counts. */
void
platform_fault(struct platform_rig *r, const char *name, const char *body);
int
platform_fault_count(struct platform_rig *r, const char *name);

/* Waits until the count is at least that; fails after PLATFORM_WAIT_MS. */
void
platform_await_fault_count(struct platform_rig *r, const char *name,
                           int count);

#endif
