#ifndef GV_TEST_RAFT_NET_H
#define GV_TEST_RAFT_NET_H

#include <glib.h>

#include "raft.h"
#include "raft.pb-c.h"
#include "rng.h"

/*
 * A network of raft nodes with simulated disks, clocks and messages, driven
 * by a seed. After every step it checks the safety properties and keeps the
 * first violation.
 */

#define NET_VMS 6
#define NET_MS INT64_C(1000000)

/* Faults planted in a node's environment, which the checks must detect. */
enum net_bug {
    NET_BUG_NONE,
    NET_BUG_EARLY_SYNC,    /* a write is reported durable before it is */
    NET_BUG_FORGET_VOTE,   /* restarts after voting, without the vote */
    NET_BUG_KEEP_IDENTITY, /* an empty disk keeps the old member id */
    NET_BUG_LONG_LEASE,    /* a node uses a longer election timeout */
    NET_BUG_LOSE_TAIL,     /* the last durable entry is lost on restart */
    NET_BUG_CHANGE_ENTRY,  /* a durable entry reads back differently */
};

struct net_disk {
    struct raft_hard_state hard;
    struct raft_snapshot snapshot;
    GByteArray *state; /* content of the snapshot */
    GArray *entries;   /* struct raft_entry after the snapshot */
};

/* An ordered disk operation: a write, or a snapshot taken or received. */
struct net_write {
    uint64_t number;
    bool hard_changed;
    struct raft_hard_state hard;
    GArray *entries;
    struct raft_snapshot snapshot; /* index 0: none */
    GByteArray *state;
    bool install;
    bool reset_log;
    int64_t due;
};

struct net_node {
    uint64_t id;
    struct raft *raft; /* NULL while down */
    int64_t clock_offset;
    int64_t clock_ppm;
    int64_t up_at;
    int64_t paused_until;
    int64_t slow_sync; /* upper bound of a sync's duration */
    struct net_disk disk;
    GQueue writes; /* struct net_write, not yet durable */
    uint64_t applied;
    uint64_t chain; /* hash over all applied entries */
    GByteArray *incoming;
    bool voted; /* in the last step */
};

struct net_packet {
    int from;
    int to;
    uint64_t from_id;
    struct str bytes;
    int64_t due;
};

struct net_commit {
    uint64_t term;
    uint64_t by; /* term of the leader that committed it */
    uint64_t chain;
};

struct net {
    struct rng rng;
    int64_t now;
    int vms;
    enum net_bug bug;
    struct net_node nodes[NET_VMS];
    GArray *packets;
    bool blocked[NET_VMS][NET_VMS];
    unsigned drop_per_mille;
    unsigned duplicate_per_mille;
    int64_t max_delay;
    uint64_t next_id;
    GArray *committed;           /* struct net_commit, index 1 first */
    GHashTable *leaders;         /* term: member id */
    GHashTable *votes;           /* "id/term": candidate */
    GHashTable *dead;            /* ids whose disk was lost */
    struct raft_snapshot config; /* newest committed configuration */
    unsigned elections;
    unsigned repairs;
    unsigned installs;
    unsigned losses;
    char violation[160]; /* empty: none */
};

struct net *
net_create(uint64_t seed, int voters, enum net_bug bug);
void
net_destroy(struct net *n);

/* Advances the time by step and processes what is due. */
void
net_step(struct net *n, int64_t step);

/* Steps of 1 ms until a node leads with a valid lease; returns it or -1. */
int
net_wait_leader(struct net *n, int64_t limit);
int64_t
net_clock(const struct net *n, int vm);
void
net_crash(struct net *n, int vm, int64_t down);

/* Crash with loss of the disk: the VM returns as a new member. */
void
net_lose_disk(struct net *n, int vm, int64_t down);
bool
net_may_lose_disk(const struct net *n, int vm);
void
net_snapshot(struct net *n, int vm);
void
net_heal(struct net *n);

/* Proposes the VMs that are not members as learners. */
void
net_join_missing(struct net *n);
bool
net_propose(struct net *n, int vm);

/* The VM as a member of its present identity. */
struct raft_member
net_member(const struct net *n, int vm, bool voter);

/* Disks and the state machine. */
void
net_entries_drop(GArray *list, guint keep);
void
net_entries_put(GArray *list, const struct raft_entry *e);
void
net_write_free(struct net_write *w);
void
net_disk_apply(struct net *n, struct net_node *node,
               const struct net_write *w);
void
net_disk_clear(struct net_disk *d);
struct net_write *
net_write_queue(struct net *n, struct net_node *node);
GByteArray *
net_state_encode(uint64_t chain);
void
net_note_applied(struct net *n, struct net_node *node,
                 const struct raft_entry *e);
void
net_restore_state(struct net *n, struct net_node *node, uint64_t index,
                  const GByteArray *state);

/* Checks. */
void
net_violate(struct net *n, const char *what, uint64_t a, uint64_t b);

/* Records a durable or sent vote; a second one in a term is a violation. */
void
net_note_vote(struct net *n, uint64_t id, uint64_t term, uint64_t vote);

/* Checks what a message promises against the sender's disk. */
void
net_check_promise(struct net *n, struct net_node *node,
                  const Raft__Message *m);
void
net_check(struct net *n);

/* Carries out what the node at vm has ready. */
void
net_drain(struct net *n, int vm);

#endif
