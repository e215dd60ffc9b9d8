#ifndef GV_CONTROL_H
#define GV_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "front.h"
#include "map.h"
#include "peer.h"
#include "ring.h"
#include "settings.h"
#include "str.h"
#include "upstream.h"
#include "wire.pb-c.h"

struct entry;
struct leader;
struct ledger;
struct replica;

enum {
    /* Relative drift between the clocks of two VMs that leases allow for. */
    LEASE_DRIFT_PPM = 10000,
};

/* A way to another process, or to the other role of this one. */
struct link {
    uint64_t id; /* never reused in this process */
    struct control *control;
    struct peer_session *session; /* NULL: this process */
    struct str vm;
    uint64_t member_id;
    uint64_t cluster_id;
};

enum drain_phase {
    DRAIN_NONE,
    DRAIN_NOTICE,   /* not ready; requests are still accepted */
    DRAIN_FINISH,   /* no new connections; requests in flight finish */
    DRAIN_HANDOVER, /* leadership and units are given back */
    DRAIN_DONE,
};

/* What the control thread owns. */
struct control {
    const struct settings *settings;
    int64_t now;  /* read once per wake-up */
    uint64_t run; /* random number of this process */
    int epoll;
    struct ring *front_ring;
    struct ring *upstream_ring;
    struct ring *storage_ring; /* NULL on a VM that is an entry only */
    struct front *front;
    struct upstream *upstream;
    struct peer_hub *hub; /* NULL with --single */
    struct map *links;    /* by link id */
    uint64_t last_link_id;
    struct link *local;
    struct local_frame *local_head; /* frames of this process to itself */
    struct local_frame *local_tail;
    struct replica *replica; /* NULL on a VM that is an entry only */
    struct leader *leader;   /* NULL unless this process leads */
    struct ledger *ledger;   /* NULL on a VM that is an entry only */
    uint64_t pools_version;  /* configuration that the pools were set from */
    struct entry *entry;
    enum drain_phase drain;
    int64_t drain_phase_end;
    int64_t drain_deadline;
    int exit_status;
};

/* Runs the process until it was drained; returns its exit status. */
int
control_run(const struct settings *settings);

/* Starts the graceful stop; further calls do nothing. */
void
control_drain(struct control *c);

/* The link to a VM, or NULL. */
struct link *
control_find_link(const struct control *c, struct str vm);

/* The link with that id, or NULL when it is gone. */
struct link *
control_find_link_by_id(const struct control *c, uint64_t id);

/*
 * The ledger of unit leases. It lives as long as the process, so that a new
 * leader knows how large its pools recently were.
 */
struct ledger *
control_get_ledger(struct control *c);

/* Sets the pools of teams' request limits from the replicated state. */
void
control_update_pools(struct control *c);

/* Sends an envelope that holds one message. */
void
link_send(struct link *l, const Wire__Envelope *envelope);

/* Drains the phases of a graceful stop; called once per wake-up. */
void
drain_step(struct control *c);
int64_t
drain_next_deadline(const struct control *c);

#endif
