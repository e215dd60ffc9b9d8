#ifndef GV_NODE_H
#define GV_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "front.h"
#include "node.pb-c.h"
#include "str.h"

/*
 * A scheduler process: an entry node, which accepts API calls and forwards
 * them to the leader, or a control VM, which keeps a replica of the state and,
 * as leader, controls the workers. An adapter implements the protocols of
 * callers, operators, workers and the approval service.
 */

enum {
    NODE_CLUSTER_KEY_BYTES = 32, /* unused */
};

/* The settings of one process; field names are the keys of the file. */
struct node_settings {
    struct str vm;
    struct str failure_domain;
    struct node_domain *failure_domains; /* all that exist; may be empty */
    size_t failure_domain_count;
    struct str caller_listen;  /* empty: accepts no API calls */
    struct str ready_listen;   /* empty: answers no probes */
    struct str control_listen; /* empty: not a control VM */
    struct str metrics_listen; /* empty: serves no metrics */
    struct str peer_listen;
    uint32_t peer_port;
    struct str data; /* directory of log and snapshots; empty on entry nodes */
    struct node_seed *seeds;
    size_t seed_count;
    bool first_start; /* a new cluster is created; all data directories are
                         empty */
    struct str cluster_secret;
    struct str approval_address; /* empty: no approval service */
    /* Interval of worker announcements; validated but not used. */
    uint64_t heartbeat_ms;
    uint64_t lease_max_ms; /* workers cap longer leases to this */
    uint64_t job_keep_s;   /* how long ended jobs are kept */
    uint64_t grace_s;      /* time between SIGTERM and SIGKILL */
};

struct node_seed {
    struct str address; /* host:port of a control VM's API */
};

struct node_domain {
    struct str name;
};

/*
 * Reads the settings file. Returns false and writes one line to standard error
 * if it cannot be read or is invalid. Free *s with node_settings_free().
 */
bool
node_settings_load(struct node_settings *s, const char *path);
void
node_settings_free(struct node_settings *s);

/* Identifies one run of a task in calls to workers. */
struct node_task {
    uint64_t job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    uint32_t run;
};

enum node_worker_call_kind {
    NODE_CALL_START,
    NODE_CALL_STOP,
    NODE_CALL_POLL,
};

/* A call to a worker. lease_until_ms is a time on the worker's clock. */
struct node_worker_call {
    enum node_worker_call_kind kind;
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
            uint64_t last_seen;     /* number of the last known run end */
            int64_t lease_until_ms; /* 0: the lease is not extended */
            uint32_t wait_ms;       /* long-poll timeout */
        } poll;
    } u;
};

/* Why a worker refused a call; sent as a number between VMs. */
enum node_refusal {
    NODE_REFUSAL_NONE,
    NODE_REFUSAL_FENCED,    /* the worker has seen a higher fencing token */
    NODE_REFUSAL_STALE_RUN, /* the worker has ended this run or a later one */
    NODE_REFUSAL_LEASE_EXPIRED, /* the lease of the call had expired */
    NODE_REFUSAL_NO_CAPACITY,   /* not enough free capacity */
    NODE_REFUSAL_BAD_TICKET,    /* the approval ticket is missing or invalid */
    NODE_REFUSAL_UNHEALTHY,     /* the worker is unhealthy and did nothing */
    NODE_REFUSAL_WRONG_WORKER,  /* another worker answers at the address */
    NODE_REFUSAL_INVALID,
    NODE_REFUSAL_MALFORMED, /* the response cannot be decoded */
};

/* A run that is in progress on a worker. */
struct node_active_run {
    struct node_task task;
    uint32_t percent; /* of the work that is complete */
    int64_t load; /* best-effort: CPU use in millicores; serving: tail latency
                     in ms */
};

/* A run that ended on a worker. */
struct node_ended_run {
    uint64_t number; /* sequence number of the end on this worker */
    struct node_task task;
    uint32_t how; /* enum flow_run_end; 0: only the number can be read */
    struct str checkpoint;
};

/* A worker's response to a call. Free with node_worker_result_free(). */
struct node_worker_result {
    enum node_refusal refusal;
    int64_t clock_ms; /* the worker's clock; -1: absent */
    int64_t born_ms;  /* wall time of the worker's start; -1: absent */
    struct node_active_run *running;
    size_t running_count;
    struct node_ended_run *ended;
    size_t ended_count;
    /* Entries of the lists that cannot be read or were left out. Any run that
     * is not listed may be one of them. */
    uint32_t running_unreadable;
    uint32_t ended_unreadable;
    uint32_t checkpoints_dropped; /* of the ends, because they are too long */
};

/* An HTTP request to make; strings are owned by the struct. */
struct node_http_request {
    enum http_method method;
    struct buf target;
    struct buf body;
    struct http_headers headers;
};

/* Converts between HTTP messages and the types of this package. */
struct node_adapter {
    /* A poll is answered with at most this many ends. The others follow once
     * these are acknowledged. */
    size_t ended_max;
    /* No more running tasks are read of an answer to a poll. */
    uint32_t running_max;
    /*
     * Decodes an API call. Returns NULL after filling in *response if the call
     * is answered without a request to the leader. Otherwise sets *timeout_ms
     * to the caller's timeout, 0 if the call has none.
     */
    Node__Request *(*decode)(const struct front_call *call, bool control,
                             struct front_response *response,
                             int64_t *timeout_ms);
    void (*encode)(const Node__Request *request, const Node__Reply *reply,
                   struct front_response *response);
    void (*encode_call)(const struct node_worker_call *call,
                        struct node_http_request *http);
    void (*decode_result)(const struct node_worker_call *call, int status,
                          struct str body, struct node_worker_result *result);
    void (*encode_approval)(const Node__Ask *ask,
                            struct node_http_request *http);
    bool (*decode_approval)(int status, struct str body, Node__Answer *answer);
    /* Encodes the response to a readiness probe of the load balancer. */
    void (*encode_ready)(bool ready, struct front_response *response);
};

/* Returns a request to evacuate a failure domain, or to withdraw that. */
Node__Request *
node_evacuation_request_create(struct str domain, bool active);
void
node_worker_result_free(struct node_worker_result *result);
void
node_http_request_free(struct node_http_request *http);

/*
 * Runs the process until SIGTERM or SIGINT and returns its exit status. path
 * is the settings file, which is read again on SIGHUP.
 */
int
node_run(const char *path, const struct node_adapter *adapter);

#endif
