#ifndef GV_RAFT_H
#define GV_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * Raft consensus (Ongaro, "Consensus: Bridging Theory and Practice", 2014) as
 * a state machine that does no I/O, reads no clock and starts no threads. The
 * caller passes in received messages, the current time and the completion of
 * writes, and carries out what raft_ready returns. "Thesis" in the comments of
 * this package means that text.
 *
 * Every int64_t time, here and in the functions below, is in nanoseconds on
 * the caller's monotonic clock. The caller must read the time that it passes
 * to raft_receive after the message was received, and the time that it passes
 * to raft_lease_valid just before it uses the result. Otherwise two leaders
 * may believe at once that they hold the lease.
 *
 * A struct raft is not thread-safe. Pointers in results belong to it.
 */
struct raft;

enum raft_error {
    RAFT_OK,
    RAFT_ERR_NOT_LEADER,
    RAFT_ERR_FULL,      /* uncommitted_bytes would be exceeded */
    RAFT_ERR_BUSY,      /* a change or leadership transfer is in progress */
    RAFT_ERR_NOT_READY, /* no commit in term, or members behind or inactive */
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

/* The state that must be durable before a vote or reply that depends on it. */
struct raft_hard_state {
    uint64_t term;
    uint64_t vote; /* member voted for in term; 0: none */
};

/* Identifies a snapshot of the state after the entry at index was applied. */
struct raft_snapshot {
    uint64_t index;     /* last entry included; 0: no snapshot */
    uint64_t term;      /* of the entry at index */
    struct str members; /* encoded configuration in force at index */
};

/*
 * The durable state that the caller read at startup. The entries are
 * contiguous and start at snapshot.index + 1. raft_create copies everything.
 */
struct raft_restored {
    struct raft_hard_state hard;
    struct raft_snapshot snapshot;
    const struct raft_entry *entries;
    size_t entry_count;
};

struct raft_member {
    uint64_t id;
    bool voter; /* false: learner, which receives the log but does not vote */
    struct str vm; /* a learner replaces the voter with the same name */
    struct str address;
};

struct raft_config {
    uint64_t id; /* member id, not 0 */
    uint64_t seed;
    /* Minimum; each timeout is drawn at random from [1, 2) times this. */
    int64_t election_timeout_ns;
    int64_t heartbeat_ns; /* interval between heartbeats */
    /* Upper bound on the relative drift of two members' clocks, in ppm. */
    uint32_t drift_ppm;
    /* Limit of entry bytes per append; a larger entry is sent alone. */
    size_t batch_bytes;
    /* Limits of what is sent to one member and not yet acknowledged. */
    size_t window_bytes;
    size_t window_entries;
    /*
     * Limit of entry bytes that are proposed but not committed. A larger entry
     * is accepted if all earlier ones are committed.
     */
    size_t uncommitted_bytes;
    /* Bytes of snapshot content in one message. */
    size_t snapshot_chunk_bytes;
    /*
     * Limit of entry bytes that stay in memory although a snapshot covers
     * them, so that slow followers need no snapshot.
     */
    size_t retained_bytes;
    /* A learner may be promoted if it lacks at most this many entries. */
    uint64_t catch_up_entries;
};

/* Sets the default configuration; seed drives the random timeouts. */
void
raft_config_init(struct raft_config *config, uint64_t id, uint64_t seed);

/*
 * Creates a node, as a follower. restored may be NULL for an empty store.
 * Returns NULL if a restored configuration cannot be decoded. The caller frees
 * the node with raft_destroy.
 */
struct raft *
raft_create(const struct raft_config *config,
            const struct raft_restored *restored, int64_t now);

/* Frees the node; r may be NULL. */
void
raft_destroy(struct raft *r);

/*
 * Appends the first log entry, which names the members of a new cluster.
 * Copies members. Returns RAFT_ERR_INVALID unless the log is empty, the term
 * is 0 and count is in range.
 */
enum raft_error
raft_bootstrap(struct raft *r, int64_t now, const struct raft_member *members,
               size_t count);

/*
 * Processes one message from the member with id from. bytes remains the
 * caller's. A message addressed to another member id is dropped, and RAFT_OK
 * returned. Returns RAFT_ERR_INVALID if bytes is not a valid message or names
 * another sender.
 */
enum raft_error
raft_receive(struct raft *r, int64_t now, uint64_t from, struct str bytes);

/* Handles the timeouts that have expired at now. */
void
raft_tick(struct raft *r, int64_t now);

/*
 * Returns the time at which raft_tick must be called next; DEADLINE_NONE after
 * raft_storage_failed.
 */
int64_t
raft_next_deadline(const struct raft *r);

/*
 * Appends a copy of data to the leader's log and stores the entry's index in
 * *index unless that is NULL. Errors: RAFT_ERR_FAILED, RAFT_ERR_NOT_LEADER,
 * RAFT_ERR_BUSY during a leadership transfer, RAFT_ERR_FULL.
 */
enum raft_error
raft_propose(struct raft *r, int64_t now, struct str data, uint64_t *index);

enum raft_change {
    RAFT_ADD_LEARNER, /* member's voter field is ignored */
    RAFT_PROMOTE,     /* member.id only */
    RAFT_REMOVE,      /* member.id only */
};

/*
 * Proposes a change of one member and stores the entry's index in *index
 * unless that is NULL. The leader promotes a learner by itself once the
 * learner has caught up and the older voter of the same VM, if any, has been
 * removed. A new learner replaces other learners of its VM.
 *
 * Errors: RAFT_ERR_FAILED, RAFT_ERR_NOT_LEADER; RAFT_ERR_BUSY until the
 * previous change is committed and during a leadership transfer;
 * RAFT_ERR_NOT_READY if no entry of this term is committed, if the learner to
 * promote has not caught up, or if too few voters are active for a removal or
 * promotion; RAFT_ERR_INVALID for an id that is 0, unknown or already in use,
 * for the promotion of a voter, the removal of the only voter, and too many
 * members.
 */
enum raft_error
raft_propose_config(struct raft *r, int64_t now, enum raft_change change,
                    const struct raft_member *member, uint64_t *index);

/*
 * Transfers leadership to the voter with id to; 0 selects the active voter
 * with the most entries. Proposals fail with RAFT_ERR_BUSY until the transfer
 * ends. If the target was sent TIMEOUT_NOW but does not become leader within
 * the election timeout, this leader steps down, because it can no longer hold
 * a lease in this term. Returns RAFT_ERR_NOT_READY if no voter is active, and
 * RAFT_ERR_INVALID if to is this node or no voter.
 */
enum raft_error
raft_transfer_leadership(struct raft *r, int64_t now, uint64_t to);

/* Reports that the write with this number and all earlier ones are durable. */
void
raft_write_synced(struct raft *r, int64_t now, uint64_t write);

/*
 * Reports that a write failed. The node steps down, and from now on neither
 * votes nor acknowledges anything, because the content of the store is
 * unknown. The caller must create a new node from the reopened store.
 */
void
raft_storage_failed(struct raft *r, int64_t now);

/*
 * Fills in the index, term and members of a snapshot of the applied state.
 * out->members is valid until the next call that is not const.
 */
void
raft_snapshot_meta(const struct raft *r, struct raft_snapshot *out);

/*
 * Reports that this node's snapshot at index is durable, so that the log up
 * to index may be dropped.
 */
void
raft_snapshot_saved(struct raft *r, uint64_t index);

/*
 * Returns whether a snapshot is being sent to a member that still answers. The
 * caller should then not take a new snapshot, which would restart the
 * transfer.
 */
bool
raft_is_sending_snapshot(const struct raft *r);

/*
 * Answers a struct raft_snapshot_read with the bytes at offset of the snapshot
 * with that index, and the size of the whole snapshot in bytes. bytes remains
 * the caller's. ok is false if the snapshot could not be read; the read is
 * requested again later.
 */
void
raft_supply_snapshot_chunk(struct raft *r, int64_t now, uint64_t to,
                           uint64_t index, uint64_t offset, struct str bytes,
                           uint64_t total, bool ok);

/*
 * Reports that the snapshot received as struct raft_install is durable and
 * that the state machine has been restored from it. If either failed, the
 * caller calls raft_storage_failed instead.
 */
void
raft_snapshot_installed(struct raft *r, int64_t now, uint64_t index);

/* An encoded message to send. */
struct raft_message {
    uint64_t to; /* member id */
    struct str bytes;
};

/*
 * A request to read a chunk of this leader's snapshot, which the caller
 * answers with raft_supply_snapshot_chunk.
 */
struct raft_snapshot_read {
    uint64_t to;     /* member id of the receiver */
    uint64_t index;  /* of the snapshot */
    uint64_t offset; /* bytes */
    size_t len;      /* at most this many bytes */
};

/*
 * A received chunk of a snapshot, to be written at offset. A chunk with offset
 * 0 replaces what was received before.
 */
struct raft_install {
    struct raft_snapshot snapshot;
    uint64_t offset;
    struct str bytes;
    bool last;
    /* Set only with last: the log contradicts the snapshot; drop all of it. */
    bool reset_log;
};

/*
 * The work for the caller, valid until raft_advance. messages may be sent at
 * once: a message that depends on a write appears only after
 * raft_write_synced.
 */
struct raft_output {
    const struct raft_message *messages;
    size_t message_count;

    /* Number for raft_write_synced; 0: there is nothing to write. */
    uint64_t write;
    bool hard_changed;
    struct raft_hard_state hard;
    /* To append. Drop stored entries from the first of these indexes on. */
    const struct raft_entry *entries;
    size_t entry_count;

    const struct raft_install *installs;
    size_t install_count;
    const struct raft_snapshot_read *reads;
    size_t read_count;

    /* To apply in order, after the state of the installs was restored. */
    const struct raft_entry *committed;
    size_t committed_count;

    /* Role, term, leader or the current configuration changed. */
    bool status_changed;
};

/*
 * Fills in out and returns whether there is anything to do. Writes and
 * installs of successive outputs must reach the disk in order. Between
 * raft_ready and raft_advance only functions that take a const struct raft may
 * be called.
 */
bool
raft_ready(struct raft *r, int64_t now, struct raft_output *out);

/*
 * Confirms that the caller has carried out or copied the output of raft_ready,
 * and frees it.
 */
void
raft_advance(struct raft *r);

/*
 * Returns whether this node leads, has committed an entry of its term, and has
 * had replies from a quorum so recently that no other leader can exist.
 */
bool
raft_lease_valid(const struct raft *r, int64_t now);

/*
 * Returns when the lease expires unless renewed. INT64_MIN: no lease;
 * INT64_MAX: this node is the only voter.
 */
int64_t
raft_lease_deadline(const struct raft *r);

struct raft_status {
    enum raft_role role;
    uint64_t term;
    uint64_t leader;   /* member id, 0 when unknown */
    uint64_t first;    /* index of the first entry in memory */
    uint64_t last;     /* index of the last entry */
    uint64_t durable;  /* last index that is durable here */
    uint64_t commit;   /* last index known to be committed */
    uint64_t applied;  /* last index handed out for applying */
    uint64_t snapshot; /* index of the newest snapshot; 0: none */
    bool transferring; /* a leadership transfer is in progress */
    bool failed;       /* raft_storage_failed was called */
};

/* Fills in the node's current status. */
void
raft_status(const struct raft *r, struct raft_status *out);

/*
 * Returns the members of the newest configuration in the log, committed or
 * not. The array is valid until the next call that is not const.
 */
const struct raft_member *
raft_members(const struct raft *r, size_t *count);

/* The replication progress of a member as the leader knows it. */
struct raft_progress {
    uint64_t match;        /* last index known to be durable there */
    uint64_t next;         /* index of the next entry to send */
    size_t inflight_bytes; /* sent but not acknowledged */
    bool active;           /* replied within the election timeout */
    /* Send time of the newest message that it answered, or the time of the
     * election if that is later. */
    int64_t silent_since;
    /* A learner that has caught up, but the larger group would depend on
     * voters that do not answer. Removing one of them lets it be promoted. */
    bool promotion_blocked;
};

/* Returns false if this node does not lead or id is no member. */
bool
raft_progress(const struct raft *r, int64_t now, uint64_t id,
              struct raft_progress *out);

/*
 * Returns the term of the entry at index; 0 if it is not known. It is known
 * for the entries in memory and the one before them.
 */
uint64_t
raft_term_at(const struct raft *r, uint64_t index);

#endif
