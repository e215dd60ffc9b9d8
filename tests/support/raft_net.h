#ifndef GV_TEST_RAFT_NET_H
#define GV_TEST_RAFT_NET_H

#include <glib.h>

#include "raft.h"
#include "raft.pb-c.h"
#include "rng.h"

/*
 * A simulated cluster of raft nodes with their disks, clocks and network,
 * which depends only on its seed. After every step it checks Raft's safety
 * properties and records the first violation. Times are in nanoseconds.
 */

#define NET_VMS 6
#define NET_MS INT64_C(1000000)

/* Faults that break a node's assumptions, which the checks must detect. */
enum net_bug {
    NET_BUG_NONE,
    NET_BUG_EARLY_SYNC,    /* a write is reported as durable before it is */
    NET_BUG_FORGET_VOTE,   /* a node restarts after voting, without the vote */
    NET_BUG_KEEP_IDENTITY, /* a node that lost its disk keeps its member id */
    NET_BUG_LONG_LEASE,    /* one node has a longer election timeout */
    NET_BUG_LOSE_TAIL,     /* the last durable entry is lost on restart */
    NET_BUG_CHANGE_ENTRY,  /* a durable entry reads back differently */
};

/* What is durable on a node. */
struct net_disk {
    struct raft_hard_state hard;
    struct raft_snapshot snapshot;
    GByteArray *state; /* content of the snapshot */
    GArray *entries;   /* struct raft_entry after the snapshot */
};

/*
 * A disk operation, executed in order: a write, or the storing of a snapshot
 * that was taken or received.
 */
struct net_write {
    uint64_t number; /* raft_output.write; 0: a snapshot */
    bool hard_changed;
    struct raft_hard_state hard;
    GArray *entries;
    struct raft_snapshot snapshot; /* index 0: none */
    GByteArray *state;
    bool install; /* the snapshot was received */
    bool reset_log;
    int64_t due_ns;
};

struct net_node {
    uint64_t id;
    struct raft *raft; /* NULL while down */
    int64_t clock_offset_ns;
    int64_t clock_ppm;     /* drift against the simulated time */
    int64_t restart_at_ns; /* when it restarts, if down */
    int64_t paused_until_ns;
    int64_t max_sync_ns; /* upper bound of the duration of a sync */
    struct net_disk disk;
    GQueue writes; /* struct net_write, not yet durable */
    uint64_t applied;
    uint64_t state_hash;  /* hash over all applied entries */
    GByteArray *incoming; /* chunks of the snapshot being received */
    bool voted;           /* granted a vote in the last step */
};

/* A message on its way; from and to are positions in net.nodes. */
struct net_packet {
    int from;
    int to;
    uint64_t from_id; /* member id */
    struct str bytes;
    int64_t due_ns;
};

/* A committed entry. */
struct net_commit {
    uint64_t term;
    uint64_t commit_term; /* term of the leader that committed it */
    uint64_t state_hash;  /* hash over all entries up to this one */
};

struct net {
    struct rng rng;
    int64_t now;
    int vms;
    enum net_bug bug;
    struct net_node nodes[NET_VMS];
    GArray *packets;
    bool blocked[NET_VMS][NET_VMS]; /* [from][to]: messages are dropped */
    unsigned drop_per_mille;
    unsigned duplicate_per_mille;
    int64_t max_delay_ns;
    uint64_t next_id;
    GArray *committed;           /* struct net_commit, index 1 first */
    GHashTable *leaders;         /* term: member id */
    GHashTable *votes;           /* "id/term": candidate */
    GHashTable *lost_ids;        /* member ids whose disk was lost */
    struct raft_snapshot config; /* newest committed configuration */
    unsigned elections;
    unsigned repairs; /* unused */
    unsigned installs;
    unsigned lost_disks;
    char violation[160]; /* the first one; empty: none */
};

/*
 * Creates NET_VMS nodes. The first ones, as many as voters says, are the
 * members of the cluster.
 */
struct net *
net_create(uint64_t seed, int voters, enum net_bug bug);
void
net_destroy(struct net *n);

/* Advances the time by step ns, processes what is due and runs the checks. */
void
net_step(struct net *n, int64_t step);

/*
 * Steps by 1 ms until a node holds a valid lease, for at most limit ns.
 * Returns the VM of that node, or -1.
 */
int
net_wait_leader(struct net *n, int64_t limit);

/* The time in ns on the clock of a VM. */
int64_t
net_clock(const struct net *n, int vm);

/* Stops a node, which restarts after down ns. */
void
net_crash(struct net *n, int vm, int64_t down);

/*
 * Stops a node and clears its disk. The VM restarts after down ns with a new
 * member id.
 */
void
net_lose_disk(struct net *n, int vm, int64_t down);

/* Whether the cluster keeps a majority if the disk of this VM is lost. */
bool
net_can_lose_disk(const struct net *n, int vm);

/* Starts a snapshot of the applied state. */
void
net_take_snapshot(struct net *n, int vm);

/* Ends all faults and restarts the nodes that are down. */
void
net_end_faults(struct net *n);

/* Proposes on every node to add the VMs that are not members as learners. */
void
net_propose_missing_vms(struct net *n);

/* Proposes a random entry; returns whether the node accepted it. */
bool
net_propose(struct net *n, int vm);

/* The member that stands for the VM under its current member id. */
struct raft_member
net_member(const struct net *n, int vm, bool voter);

/* Disks and the state machine. */

/* Removes the entries after the first keep ones. */
void
net_entries_truncate(GArray *list, guint keep);

/* Appends a copy; replaces the entry with the same index and later ones. */
void
net_entries_append(GArray *list, const struct raft_entry *e);
void
net_write_free(struct net_write *w);

/* Makes a write durable. */
void
net_disk_apply(struct net *n, struct net_node *node,
               const struct net_write *w);
void
net_disk_clear(struct net_disk *d);

/* Queues an empty write, which completes after a random sync time. */
struct net_write *
net_queue_write(struct net *n, struct net_node *node);
GByteArray *
net_state_encode(uint64_t state_hash);

/* Applies an entry to the node's state and compares it with other nodes. */
void
net_apply_entry(struct net *n, struct net_node *node,
                const struct raft_entry *e);

/* Sets the node's state from a snapshot and compares it with other nodes. */
void
net_restore_state(struct net *n, struct net_node *node, uint64_t index,
                  const GByteArray *state);

/* Checks. */

/* Records the first violation, with the two values that describe it. */
void
net_report_violation(struct net *n, const char *what, uint64_t a, uint64_t b);

/* Records a durable or sent vote; a second one in a term is a violation. */
void
net_record_vote(struct net *n, uint64_t id, uint64_t term, uint64_t vote);

/*
 * Checks that the state which a message acknowledges is durable on its
 * sender's disk, and that the sender is not a member whose disk was lost.
 */
void
net_check_message(struct net *n, struct net_node *node,
                  const Raft__Message *m);

/*
 * Checks leases, that each term has one leader, which has all earlier
 * committed entries, and every 8 ms that the logs match.
 */
void
net_check_safety(struct net *n);

/* Processes the output of raft_ready of a node until there is none. */
void
net_process_output(struct net *n, int vm);

#endif
