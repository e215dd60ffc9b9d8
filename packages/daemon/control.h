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
    /* Largest relative drift between the clocks of two VMs at which leases
     * are still safe, in parts per million. */
    LEASE_DRIFT_PPM = 10000,
};

/*
 * A message channel to another process, or between the control and entry roles
 * of this process.
 */
struct link {
    uint64_t id; /* never reused within this process */
    struct control *control;
    struct peer_session *session; /* NULL: link of this process to itself */
    struct str vm;                /* name of the VM at the other end; owned */
    uint64_t member_id;           /* raft member id of that VM; 0: none */
    uint64_t cluster_id;          /* 0: it has no data of a cluster */
};

enum drain_phase {
    DRAIN_NONE,
    DRAIN_NOTICE,   /* reports not ready, but still accepts requests */
    DRAIN_FINISH,   /* accepts no connections; requests in flight finish */
    DRAIN_HANDOVER, /* returns its units; waits for another leader */
    DRAIN_DONE,
};

/*
 * The state of the control thread, which runs all roles of the process. Times
 * are those of clock_now, in nanoseconds.
 */
struct control {
    const struct settings *settings;
    int64_t now;  /* time of the current iteration of the control loop */
    uint64_t run; /* random number that identifies this process */
    int epoll;
    struct ring *front_ring;
    struct ring *upstream_ring;
    struct ring *storage_ring; /* NULL on a VM that is only an entry */
    struct front *front;
    struct upstream *upstream;
    struct peer_hub *hub; /* NULL with --single */
    struct map *links;    /* link id to struct link */
    uint64_t last_link_id;
    struct link *local;
    struct local_frame *local_head; /* frames to itself, not yet handled */
    struct local_frame *local_tail;
    struct replica *replica; /* NULL on a VM that is only an entry */
    struct leader *leader;   /* NULL unless this process leads */
    struct ledger *ledger;   /* NULL until control_get_ledger */
    uint64_t pools_version;  /* configuration version of the ledger pools */
    struct entry *entry;
    enum drain_phase drain;
    /* End of DRAIN_NOTICE, or of the wait for the record that this process
     * has left. */
    int64_t drain_phase_end;
    int64_t drain_deadline; /* when the process stops in any case */
    int exit_status;
};

/* Runs the process until it has been drained. Returns its exit status. */
int
control_run(const struct settings *settings);

/* Starts the graceful stop. Further calls do nothing. */
void
control_drain(struct control *c);

/* Returns the link to a VM, or NULL. */
struct link *
control_find_link(const struct control *c, struct str vm);

/* Returns the link with this id, or NULL if it has been closed. */
struct link *
control_find_link_by_id(const struct control *c, uint64_t id);

/*
 * Returns the ledger of unit leases, which the first call creates. It is kept
 * until the process ends, even while this process does not lead, so that a new
 * leader knows the recent sizes of the pools.
 */
struct ledger *
control_get_ledger(struct control *c);

/* Updates the ledger pools to the teams' request limits in the replicated
 * state. */
void
control_update_pools(struct control *c);

/*
 * Sends a message. One that cannot be queued on the session is dropped, and
 * the drop is logged. A message to this process is handled in a later round of
 * the same iteration of the control loop, or in the next iteration.
 */
void
link_send(struct link *l, const Wire__Envelope *envelope);

/* Advances a graceful stop; called once per iteration of the control loop. */
void
drain_step(struct control *c);
int64_t
drain_next_deadline(const struct control *c);

#endif
