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
    struct str address; /* numeric IP:PORT of its internal port */
};

struct settings_queue {
    struct str name;
};

/*
 * The settings of one process; docs/operating.md describes each field. The
 * field names are those of the settings file.
 */
struct settings {
    struct str vm;
    struct str failure_domain;
    struct str listen;
    struct str peer_listen;
    struct str data; /* directory; ptr NULL: this VM is only an entry */
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
    int log_level; /* index in: crit, err, warning, notice, info, debug */

    bool single; /* --single: a cluster of one VM without an internal port */
    uint8_t cluster_key[PEER_CLUSTER_KEY_BYTES];
    struct json_doc *doc; /* owns the strings and lists; NULL: borrowed */
};

/*
 * Reads and validates a settings file. The caller frees s with settings_free.
 * On failure, prints one line to standard error that names the file and, if
 * the file could be read, the line and field, and returns false.
 */
bool
settings_load(struct settings *s, const char *file);

/* Fills in the settings of --single. listen and data are borrowed. */
void
settings_single(struct settings *s, const char *listen, const char *data);
/* Frees what settings_load allocated, and zeroes the struct. */
void
settings_free(struct settings *s);

/* Returns whether this VM is listed as a control VM. */
bool
settings_is_control(const struct settings *s);

#endif
