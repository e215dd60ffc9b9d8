#ifndef GV_TEST_CLUSTER_H
#define GV_TEST_CLUSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "history.h"
#include "http_client.h"
#include "str.h"

/*
 * A cluster of real guavarockd processes on a loopback address of its own,
 * with fake workers and endpoints. Programs come from the build folder that
 * GV_BIN names. All waits are for conditions and abort the test when the
 * condition does not hold in time. Used by one thread, but for cluster_entry.
 */

enum {
    CLUSTER_VMS_MAX = 9,
    CLUSTER_FAKES_MAX = 24,
    CLUSTER_PATH_BYTES = 128,
    CLUSTER_KEY_BYTES = 64,
    CLUSTER_PORTS_MAX = 256,
    /* Lease times of the settings. */
    CLUSTER_ELECTION_MS = 400,
    CLUSTER_CONFIG_LEASE_MS = 1000,
    CLUSTER_WORKER_LEASE_MS = 1500,
    CLUSTER_ENDPOINT_LEASE_MS = 1500,
    CLUSTER_LONGEST_REQUEST_MS = 2000,
    CLUSTER_SNAPSHOT_ENTRIES = 100,
};

enum cluster_cut {
    CLUSTER_CUT_BOTH,
    CLUSTER_CUT_SENDING,   /* what the VM sends is lost */
    CLUSTER_CUT_RECEIVING, /* what is sent to the VM is lost */
};

struct cluster_vm {
    char name[16];
    char http[32];
    char peer[32];
    char data[CLUSTER_PATH_BYTES];
    char settings[CLUSTER_PATH_BYTES];
    char log[CLUSTER_PATH_BYTES];
    pid_t pid;
    bool away; /* frozen or cut off: calls go through the other VMs */
    /* Of the path from this VM to each control VM. */
    pid_t relays[CLUSTER_VMS_MAX];
    char relay_address[CLUSTER_VMS_MAX][32];
};

struct cluster_fake {
    char id[32];
    bool is_worker;
    pid_t pid;
    int port;
    int entry;        /* the only VM it connects to, -1: any */
    char text[8][32]; /* options, to start it again */
};

struct cluster_key {
    char id[24];
    char key[CLUSTER_KEY_BYTES];
};

struct cluster {
    char bin[CLUSTER_PATH_BYTES];
    char dir[64];
    char ip[16];
    int control;
    int count;
    bool relays;
    int ports[CLUSTER_PORTS_MAX]; /* given out */
    int port_count;
    struct cluster_vm vms[CLUSTER_VMS_MAX];
    struct cluster_fake fakes[CLUSTER_FAKES_MAX];
    int fake_count;
    char history_path[CLUSTER_PATH_BYTES];
    struct history *history;
    struct http_client *client;
    char operator_key[CLUSTER_KEY_BYTES];
    struct cluster_key team;     /* of team "lamps" */
    struct cluster_key endpoint; /* kind endpoint */
    struct cluster_key worker;   /* kind worker */
};

/* Clusters that are started later run guavarockd_faulty, for cluster_vm_fault
 * and with clocks that are faster by so many millionths; NULL: none is. */
void
cluster_use_faulty(const int drift_ppm[CLUSTER_VMS_MAX]);

/* Creates the files and starts all; returns once the operator key works. */
struct cluster *
cluster_start(int control, int entries, bool relays);

/* Kills what still runs, and removes the files. */
void
cluster_destroy(struct cluster *c);

/* Sets the teams "lamps" and "looms" with wide limits and issues keys. */
void
cluster_provision(struct cluster *c);

/* A free port on the cluster's address that was not given out before. */
int
cluster_port(struct cluster *c);

/* ---- VMs ---- */

void
cluster_vm_start(struct cluster *c, int vm);
void
cluster_vm_kill(struct cluster *c, int vm);

/* SIGTERM; aborts unless it exits with 0. */
void
cluster_vm_stop(struct cluster *c, int vm);
void
cluster_vm_freeze(struct cluster *c, int vm, bool frozen);
void
cluster_vm_cut(struct cluster *c, int vm, enum cluster_cut how);
void
cluster_vm_heal(struct cluster *c, int vm);
void
cluster_vm_wipe(const struct cluster *c, int vm);

/* Overwrites bytes in the middle of each log file. */
void
cluster_vm_damage(const struct cluster *c, int vm);

/* Limits the size of the files that the running process may write to a few
 * KiB more than its log file has, or lifts the limit. Writes beyond it fail
 * as on a disk that is full. */
void
cluster_vm_limit_files(struct cluster *c, int vm, bool limited);

/* What file operations in the VM's data directory do from now on, also in
 * processes that start later: lines as in tests/fakes/guavarockd_faulty.c,
 * NULL for none. */
void
cluster_vm_fault(struct cluster *c, int vm, const char *lines);

/* Whether a line of the VM's log contains the text. */
bool
cluster_vm_logged(const struct cluster *c, int vm, const char *text);

/* Whether /v1/ready answers 200. */
bool
cluster_vm_ready(const struct cluster *c, int vm);
void
cluster_await_ready(const struct cluster *c, int vm);

/* Index of the VM that leads, other than except (-1: none). */
int
cluster_leader(const struct cluster *c, int except);

/* Whether the VM answers and says that it leads. */
bool
cluster_vm_leads(const struct cluster *c, int vm);
int
cluster_follower(const struct cluster *c);

/* Waits until GET /v1/vms shows all control VMs connected in a voter's role
 * and the configuration of all connected VMs is the newest. */
void
cluster_await_whole(const struct cluster *c);

/* ---- Fakes ---- */

/* Returns the index. options are further arguments, NULL at the end. */
int
cluster_worker(struct cluster *c, const char *id, const char *const *options);
/* A worker that reaches the cluster through one VM only. */
int
cluster_worker_at(struct cluster *c, const char *id, int vm);
int
cluster_endpoint(struct cluster *c, const char *id,
                 const char *const *options);
void
cluster_fake_start(struct cluster *c, int fake);
void
cluster_fake_kill(struct cluster *c, int fake);

/* SIGTERM; aborts unless it exits with 0. */
void
cluster_fake_stop(struct cluster *c, int fake);
void
cluster_fake_freeze(struct cluster *c, int fake, bool frozen);

/* Waits until status shows so many. */
void
cluster_await_workers(const struct cluster *c, int count);
void
cluster_await_endpoints(const struct cluster *c, int count);

/* Runs the history checker; returns how many violations it reports, with a
 * line for each in *report, which the caller frees. */
int
cluster_violations(const struct cluster *c, struct buf *report);

/* Runs the history checker; aborts when it reports anything. */
void
cluster_check(struct cluster *c);

#endif
