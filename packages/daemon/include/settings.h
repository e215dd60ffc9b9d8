#ifndef GV_SETTINGS_H
#define GV_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "json.h"
#include "peer.h"
#include "sched.h"
#include "str.h"

struct settings_control_vm {
    struct str vm;
    struct str address; /* of its internal port */
};

struct settings_queue {
    struct str name;
};

/* The settings of one process; docs/operating.md describes each field. */
struct settings {
    struct str vm;
    struct str failure_domain;
    struct str listen;
    struct str peer_listen;
    struct str data; /* ptr NULL: this VM is an entry only */
    struct str cluster_key_file;
    struct settings_control_vm *control;
    size_t control_count;
    struct settings_queue *open_queues;
    size_t open_queue_count;
    struct sched_weights weights;
    uint32_t front_threads;
    uint32_t upstream_threads;
    uint32_t election_timeout_ms;
    uint32_t heartbeat_ms;
    uint32_t config_lease_ms;
    uint32_t worker_lease_ms;
    uint32_t endpoint_lease_ms;
    uint32_t longest_request_ms;
    uint32_t drain_notice_ms;
    uint32_t drain_deadline_ms;
    uint32_t snapshot_entries;
    int log_level; /* index in crit, err, warning, notice, info, debug */

    bool single; /* --single: no internal port, a cluster of one */
    uint8_t cluster_key[PEER_CLUSTER_KEY_BYTES];
    struct json_doc *doc;
};

/*
 * Reads and checks a settings file. Returns false after writing one line that
 * names file, line and field to standard error.
 */
bool
settings_load(struct settings *s, const char *file);

/* The settings of --single. listen and data are borrowed. */
void
settings_single(struct settings *s, const char *listen, const char *data);
void
settings_free(struct settings *s);

/* Whether this VM is one of the control VMs. */
bool
settings_is_control(const struct settings *s);

#endif
