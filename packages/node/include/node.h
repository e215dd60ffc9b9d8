#ifndef GV_NODE_H
#define GV_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "front.h"
#include "node.pb-c.h"
#include "str.h"

/*
 * A process that runs workflows: an entry node, which accepts API calls and
 * forwards them to the leader, or a control VM, which keeps the replicated
 * state and, as leader, controls the workers. An adapter implements the
 * protocols of callers, operators, workers and the approval service.
 */

enum {
    NODE_CLUSTER_KEY_BYTES = 32,
};

/* Durations are milliseconds. */
struct node_settings {
    struct str vm;
    struct str failure_domain;
    struct str caller_listen;  /* empty: accepts no API calls */
    struct str ready_listen;   /* empty: answers no probes */
    struct str control_listen; /* empty: no control VM */
    struct str metrics_listen; /* empty: serves no metrics */
    struct str peer_listen;
    uint32_t peer_port;
    struct str data; /* directory; empty on entries */
    struct node_seed *seeds;
    size_t seed_count;
    bool first_start; /* the cluster is created: all disks are empty */
    struct str cluster_secret;
    struct str approval_address; /* empty: there is no such service */
    uint64_t heartbeat_ms;       /* between announcements of a worker */
    uint64_t lease_max_ms;       /* a worker shortens longer leases to this */
    uint64_t job_keep_s;         /* how long ended jobs are kept */
    uint64_t grace_s;            /* from SIGTERM until the process is killed */
};

struct node_seed {
    struct str address; /* of a control VM's API */
};

/*
 * Reads the settings file. Returns false and writes one line to standard error
 * if it cannot be read or is invalid. Free *s with node_settings_free().
 */
bool
node_settings_load(struct node_settings *s, const char *path);
void
node_settings_free(struct node_settings *s);

/* One run of a task as workers know it. */
struct node_task {
    uint64_t job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    uint32_t run;
};

enum node_call_kind {
    NODE_CALL_START,
    NODE_CALL_STOP,
    NODE_CALL_POLL,
};

/* A call to a worker. Leases end at a time on the worker's clock. */
struct node_call {
    enum node_call_kind kind;
    struct str worker;
    uint64_t token; /* fencing token: the leader's term */
    union {
        struct {
            struct node_task task;
            struct str payload;
            int64_t lease_until_ms;
            struct str checkpoint;
            struct str ticket;
        } start;
        struct {
            struct node_task task;
        } stop;
        struct {
            uint64_t last_seen;
            int64_t lease_until_ms; /* 0: leaves the lease as it is */
            uint32_t wait_ms;       /* for an end to report */
        } poll;
    } u;
};

/* Why a worker refused a call. */
enum node_refusal {
    NODE_REFUSAL_NONE,
    NODE_REFUSAL_FENCED,  /* it has seen a higher token */
    NODE_REFUSAL_OLD_RUN, /* this run, or a later one, ended there */
    NODE_REFUSAL_LATE,    /* the lease of the call had expired */
    NODE_REFUSAL_ROOM,
    NODE_REFUSAL_TICKET,
    NODE_REFUSAL_UNHEALTHY,  /* the worker is unhealthy and did nothing */
    NODE_REFUSAL_OTHER_LIFE, /* another worker answers at the address */
    NODE_REFUSAL_INVALID,
    NODE_REFUSAL_GARBLED, /* the response cannot be decoded */
};

struct node_running {
    struct node_task task;
    uint32_t percent; /* of its work */
    int64_t load;     /* best-effort: milli cores; serving: tail in ms */
};

struct node_ended {
    uint64_t number;
    struct node_task task;
    uint32_t how; /* enum flow_run_end */
    struct str checkpoint;
};

struct node_result {
    enum node_refusal refusal;
    int64_t clock_ms; /* the worker's clock, -1 when not given */
    int64_t born_ms;  /* -1 when not given */
    struct node_running *running;
    size_t running_count;
    struct node_ended *ended;
    size_t ended_count;
};

/* An HTTP request to make; strings are owned by the struct. */
struct node_http {
    enum http_method method;
    struct buf target;
    struct buf body;
    struct http_headers headers;
};

/* Translates between HTTP messages and the types of this package. */
struct node_adapter {
    /*
     * Decodes a call. Returns NULL after filling in *response if the call is
     * answered without a request. *timeout_ms is how long the caller waits, 0
     * if the call does not say.
     */
    Node__Request *(*decode)(const struct front_call *call, bool control,
                             struct front_response *response,
                             int64_t *timeout_ms);
    void (*encode)(const Node__Request *request, const Node__Reply *reply,
                   struct front_response *response);
    void (*encode_call)(const struct node_call *call, struct node_http *http);
    void (*decode_result)(const struct node_call *call, int status,
                          struct str body, struct node_result *result);
    void (*encode_ask)(const Node__Ask *ask, struct node_http *http);
    bool (*decode_answer)(int status, struct str body, Node__Answer *answer);
    /* Encodes the response to a readiness probe of the load balancer. */
    void (*encode_ready)(bool ready, struct front_response *response);
};

void
node_result_free(struct node_result *result);
void
node_http_free(struct node_http *http);

/*
 * Runs the process until SIGTERM or SIGINT and returns its exit status. path
 * is the settings file, which is read again on SIGHUP.
 */
int
node_run(const char *path, const struct node_adapter *adapter);

#endif
