#ifndef GV_RAFT_H
#define GV_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * Raft consensus (Ongaro, "Consensus: Bridging Theory and Practice", 2014) as
 * a state machine without I/O, clock or threads. The caller passes in
 * messages, the time and finished writes, and carries out what raft_ready
 * returns.
 *
 * Times are nanoseconds on the caller's monotonic clock. The time passed to
 * raft_receive must be read after the message was received, and the time
 * passed to raft_lease_valid just before the result is used; otherwise leader
 * leases do not hold.
 */
struct raft;

enum raft_error {
    RAFT_OK,
    RAFT_ERR_NOT_LEADER,
    RAFT_ERR_FULL,      /* the window of uncommitted bytes is full */
    RAFT_ERR_BUSY,      /* a configuration change or a transfer is under way */
    RAFT_ERR_NOT_READY, /* no commit in this term, or members are behind */
    RAFT_ERR_INVALID,   /* malformed message, unknown or duplicate member */
    RAFT_ERR_FAILED,    /* raft_storage_failed was called */
};

enum raft_role {
    RAFT_FOLLOWER,
    RAFT_PRE_CANDIDATE,
    RAFT_CANDIDATE,
    RAFT_LEADER,
};

enum raft_entry_kind {
    RAFT_ENTRY_DATA,
    RAFT_ENTRY_NOOP,
    RAFT_ENTRY_CONFIG,
};

struct raft_entry {
    uint64_t index;
    uint64_t term;
    enum raft_entry_kind kind;
    struct str data;
};

struct raft_hard_state {
    uint64_t term;
    uint64_t vote; /* member id, 0 for none */
};

/* Identifies a snapshot; members is the encoded configuration at index. */
struct raft_snapshot {
    uint64_t index; /* 0: no snapshot */
    uint64_t term;
    struct str members;
};

/*
 * What the store read back. entries are contiguous and start at
 * snapshot.index + 1. raft_create copies everything.
 */
struct raft_restored {
    struct raft_hard_state hard;
    struct raft_snapshot snapshot;
    const struct raft_entry *entries;
    size_t entry_count;
};

struct raft_member {
    uint64_t id;
    bool voter; /* otherwise a learner */
    struct str vm;
    struct str address;
};

struct raft_config {
    uint64_t id; /* member id, not 0 */
    uint64_t seed;
    /* Minimum; each timeout is drawn from [1, 2) times this value. */
    int64_t election_timeout_ns;
    int64_t heartbeat_ns;
    /* Bound on the relative drift between two members' clocks. */
    uint32_t drift_ppm;
    /* Entry bytes of one append message. A larger entry is sent alone. */
    size_t batch_bytes;
    /* Entry bytes and entries sent to one member but not acknowledged. */
    size_t window_bytes;
    size_t window_entries;
    /* Entry bytes proposed but not committed. */
    size_t uncommitted_bytes;
    size_t snapshot_chunk_bytes;
    /* Entry bytes kept in memory before a snapshot for slow followers. */
    size_t retained_bytes;
    /* A learner that lacks at most this many entries has caught up. */
    uint64_t catch_up_entries;
};

/* Sets the defaults. */
void
raft_config_init(struct raft_config *config, uint64_t id, uint64_t seed);

/* Returns NULL when the restored configuration does not decode. */
struct raft *
raft_create(const struct raft_config *config,
            const struct raft_restored *restored, int64_t now);
void
raft_destroy(struct raft *r);

/*
 * Writes the first log entry, which names the members of a new cluster. Only
 * for a node with empty log and configuration, else RAFT_ERR_INVALID.
 */
enum raft_error
raft_bootstrap(struct raft *r, int64_t now, const struct raft_member *members,
               size_t count);

/*
 * Takes one message. A message addressed to another member id is dropped.
 * Returns RAFT_ERR_INVALID for bytes that are no valid message.
 */
enum raft_error
raft_receive(struct raft *r, int64_t now, uint64_t from, struct str bytes);
void
raft_tick(struct raft *r, int64_t now);

/* When raft_tick is due next. */
int64_t
raft_next_deadline(const struct raft *r);

/* Copies data and appends it on the leader. index may be NULL. */
enum raft_error
raft_propose(struct raft *r, int64_t now, struct str data, uint64_t *index);

enum raft_change {
    RAFT_ADD_LEARNER, /* member's voter field is ignored */
    RAFT_PROMOTE,     /* member.id only */
    RAFT_REMOVE,      /* member.id only */
};

/*
 * Proposes to change one member. The leader promotes a learner by itself once
 * it has caught up, after removing an older member of the same VM. A removal
 * or promotion for which too few voters are active is RAFT_ERR_NOT_READY.
 */
enum raft_error
raft_propose_config(struct raft *r, int64_t now, enum raft_change change,
                    const struct raft_member *member, uint64_t *index);

/*
 * Hands leadership to a voter; 0 selects the most advanced one. Proposals are
 * refused until the transfer ends. A leader whose target was told to take
 * over and did not within the election timeout steps down, because it can no
 * longer hold a lease in this term.
 */
enum raft_error
raft_transfer(struct raft *r, int64_t now, uint64_t to);

/* The write with this number, and all before it, are durable. */
void
raft_synced(struct raft *r, int64_t now, uint64_t write);

/*
 * A write failed. The node steps down, and neither votes nor acknowledges
 * anything from now on; create a new one from the reopened store.
 */
void
raft_storage_failed(struct raft *r, int64_t now);

/*
 * Fills in what a snapshot of the applied state needs. Valid until the next
 * call that is not const.
 */
void
raft_snapshot_meta(const struct raft *r, struct raft_snapshot *out);

/* The snapshot at index is durable; the log before it may be dropped. */
void
raft_snapshotted(struct raft *r, uint64_t index);

/*
 * Whether a snapshot is being sent to a member that answers. The caller should
 * then take no new one, which would restart the transfer.
 */
bool
raft_snapshot_busy(const struct raft *r);

/*
 * Answers a struct raft_snapshot_read: the bytes at offset of the snapshot
 * with that index, and the snapshot's total size. ok is false when it could
 * not be read.
 */
void
raft_snapshot_chunk(struct raft *r, int64_t now, uint64_t to, uint64_t index,
                    uint64_t offset, struct str bytes, uint64_t total,
                    bool ok);

/*
 * The snapshot from struct raft_install is durable and the state machine has
 * been restored from it. On failure call raft_storage_failed.
 */
void
raft_installed(struct raft *r, int64_t now, uint64_t index);

struct raft_message {
    uint64_t to;
    struct str bytes;
};

/* The leader needs this part of its newest snapshot for a member. */
struct raft_snapshot_read {
    uint64_t to;
    uint64_t index;
    uint64_t offset;
    size_t len;
};

/* Part of a snapshot to write. A part with offset 0 starts it anew. */
struct raft_install {
    struct raft_snapshot snapshot;
    uint64_t offset;
    struct str bytes;
    bool last;
    /* With last: the log is not a continuation of this snapshot; drop it. */
    bool reset_log;
};

/*
 * Everything stays valid until raft_advance. messages may be sent at once;
 * those that depend on a write appear only after raft_synced.
 */
struct raft_output {
    const struct raft_message *messages;
    size_t message_count;

    /* Number to pass to raft_synced; 0 when there is nothing to write. */
    uint64_t write;
    bool hard_changed;
    struct raft_hard_state hard;
    /* To append; an index that exists replaces that entry and all later. */
    const struct raft_entry *entries;
    size_t entry_count;

    const struct raft_install *installs;
    size_t install_count;
    const struct raft_snapshot_read *reads;
    size_t read_count;

    /* To apply in order, after the installs' state has been restored. */
    const struct raft_entry *committed;
    size_t committed_count;

    /* Role, term, leader or the current configuration changed. */
    bool status_changed;
};

/*
 * Fills out and returns whether it holds anything. The order of writes and
 * installs among successive outputs must be kept on disk. Between raft_ready
 * and raft_advance no other call that is not const is allowed.
 */
bool
raft_ready(struct raft *r, int64_t now, struct raft_output *out);
void
raft_advance(struct raft *r);

/*
 * Whether this node leads, has committed an entry of its term, and a quorum
 * was heard from so recently that no other leader can exist.
 */
bool
raft_lease_valid(const struct raft *r, int64_t now);

/* When the lease ends unless renewed; INT64_MIN without one. */
int64_t
raft_lease_deadline(const struct raft *r);

struct raft_status {
    enum raft_role role;
    uint64_t term;
    uint64_t leader; /* member id, 0 when unknown */
    uint64_t first;  /* index of the first entry in memory */
    uint64_t last;
    uint64_t durable;
    uint64_t commit;
    uint64_t applied;
    uint64_t snapshot;
    bool transferring;
    bool failed;
};

void
raft_status(const struct raft *r, struct raft_status *out);

/* The configuration in force, valid until the next call that is not const. */
const struct raft_member *
raft_members(const struct raft *r, size_t *count);

/* Progress of a member as the leader knows it; false if unknown. */
struct raft_progress {
    uint64_t match; /* durable on that member */
    uint64_t next;
    size_t inflight_bytes;
    bool active; /* heard from within the election timeout */
};

bool
raft_progress(const struct raft *r, int64_t now, uint64_t id,
              struct raft_progress *out);

/* Term of the entry at index, 0 when it is not in memory. */
uint64_t
raft_term_at(const struct raft *r, uint64_t index);

#endif
