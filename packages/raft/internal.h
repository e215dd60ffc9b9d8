#ifndef GV_RAFT_INTERNAL_H
#define GV_RAFT_INTERNAL_H

#include "clock.h"
#include "configuration.h"
#include "entries.h"
#include "raft.h"
#include "raft.pb-c.h"
#include "rng.h"

/* The value of a send time while no message has been answered. */
#define SEND_TIME_NONE INT64_MIN

/* How the leader sends entries to a member. */
enum peer_state {
    PEER_PROBE,     /* one append at a time until a matching entry is found */
    PEER_REPLICATE, /* appends are sent without waiting for replies */
    PEER_SNAPSHOT,  /* a snapshot instead of appends */
};

/* The sending of a snapshot to one member, one chunk at a time. */
struct snapshot_transfer {
    uint64_t index;          /* of the snapshot */
    uint64_t offset;         /* bytes that the member has received */
    uint64_t total;          /* bytes; 0 until the first chunk was read */
    bool read_wanted;        /* the caller is to read the next chunk */
    bool read_pending;       /* the caller was asked for the next chunk */
    bool resent;             /* requested again, as a reply was overdue */
    int64_t resend_deadline; /* ns */
};

enum vote {
    VOTE_NONE,
    VOTE_GRANTED,
    VOTE_REFUSED,
};

/* A member of the current configuration as this node knows it. */
struct peer {
    uint64_t id;
    enum peer_state state;
    uint64_t match;           /* last index known to be durable there */
    uint64_t next;            /* index of the next entry to send */
    bool probe_sent;          /* a probe is waiting for its reply */
    bool check_match;         /* a reply seems lost; send an empty append */
    int64_t answered_sent_ns; /* send time of the newest message it answered */
    enum vote vote;           /* its reply in the current election */
    struct snapshot_transfer snapshot;
};

/* Encoded messages; the list owns their bytes. */
struct messages {
    struct raft_message *items;
    size_t count;
    size_t cap;
};

/* A write that the caller has been given and that is not yet durable. */
struct write {
    uint64_t number;
    uint64_t last;        /* last log index that it makes durable */
    struct messages held; /* to send once it is durable */
};

/* The snapshot being received. */
struct install {
    uint64_t from; /* member id of the sender; 0: none */
    uint64_t index;
    uint64_t term;
    uint64_t next;      /* offset of the next chunk in bytes */
    bool pending;       /* complete, raft_snapshot_installed not yet called */
    struct str members; /* of the complete snapshot */
};

/* Times are in nanoseconds on the caller's clock. */
struct raft {
    struct raft_config cfg;
    struct rng rng;
    bool failed; /* raft_storage_failed was called */

    enum raft_role role;
    uint64_t term;
    uint64_t vote;         /* member voted for in term; 0: none */
    uint64_t leader;       /* member id; 0: unknown */
    bool hard_state_dirty; /* term or vote not yet handed out for writing */
    bool status_dirty;     /* to be reported as raft_output.status_changed */

    struct entries log;
    uint64_t compact_to;      /* entries up to this index are being freed */
    uint64_t durable;         /* last durable index */
    uint64_t first_unwritten; /* first index not yet handed out for writing */
    uint64_t commit;          /* last index known to be committed */
    uint64_t applied;         /* last index handed out for applying */
    struct config_history configs;
    struct raft_snapshot snapshot;

    struct peer *peers; /* current configuration's members, also this node */
    size_t peer_count;
    int64_t election_deadline;
    /* When a message of a leader last arrived; initially the start time. */
    int64_t last_leader_contact;

    /* Used by a leader. */
    int64_t elected_at; /* when this node became leader */
    int64_t heartbeat_deadline;
    uint64_t term_start;  /* index of the first entry of its term */
    uint64_t transfer_to; /* target of a leadership transfer; 0: none */
    int64_t transfer_deadline;
    bool transfer_sent;  /* TIMEOUT_NOW was sent to the target */
    bool lease_given_up; /* for the rest of the term */

    /* Used by a follower: the acknowledgement to send. */
    bool ack_due;
    uint64_t ack_match;  /* last index known to match the leader's log */
    int64_t ack_sent_ns; /* send time of the newest message acknowledged */
    struct install install;

    struct messages outbox; /* ready to send */
    struct messages held;   /* to send after the next write is durable */
    struct write *writes;   /* in the order of their numbers */
    size_t write_count;
    uint64_t write_number; /* of the newest write; 0: none yet */

    /* Memory that the current raft_output points to. */
    struct raft_install *installs;
    size_t install_count;
    struct raft_snapshot_read *reads;
    size_t read_count;
    struct raft_output out;
};

/* message.c */

/* Initializes a message of the current term from this node. */
void
message_init(const struct raft *r, Raft__Message *m, Raft__Kind kind,
             uint64_t to);

/* Encodes m and queues it for sending. */
void
message_send(struct raft *r, const Raft__Message *m);

/* Encodes m and queues it until all state that it depends on is durable. */
void
message_send_when_durable(struct raft *r, const Raft__Message *m);

/* Appends the messages of from to to and empties from. */
void
messages_move(struct messages *to, struct messages *from);
void
messages_clear(struct messages *m);

/* Returns NULL if bytes is invalid; free with raft__message__free_unpacked. */
Raft__Message *
message_decode(struct str bytes);

/* election.c */

/* Whether a leader was heard from within the minimum election timeout. */
bool
election_has_leader_contact(const struct raft *r, int64_t now);

/* Draws a new random election deadline. */
void
election_reset_deadline(struct raft *r, int64_t now);

/* Starts a pre-vote if the election deadline has passed. */
void
election_tick(struct raft *r, int64_t now);

/* Starts an election; transfer: the current leader asked for it. */
void
election_start(struct raft *r, int64_t now, bool transfer);
void
election_handle_request(struct raft *r, int64_t now, const Raft__Message *m);
void
election_handle_reply(struct raft *r, int64_t now, const Raft__Message *m);
void
become_follower(struct raft *r, int64_t now, uint64_t term, uint64_t leader);

/* follower.c */
void
follower_handle_append(struct raft *r, int64_t now, const Raft__Message *m);
void
follower_handle_heartbeat(struct raft *r, int64_t now, const Raft__Message *m);

/* Queues the acknowledgement of earlier appends if one is due. */
void
follower_send_ack(struct raft *r);

/*
 * Returns the largest index that is at most index and whose entry has at most
 * the given term. Later entries cannot match those of the other node.
 */
uint64_t
log_find_match_hint(const struct raft *r, uint64_t index, uint64_t term);

/* leader.c */
void
become_leader(struct raft *r, int64_t now);

/* Sends heartbeats that are due; steps down without replies of a quorum. */
void
leader_tick(struct raft *r, int64_t now);
void
leader_handle_append_reply(struct raft *r, int64_t now,
                           const Raft__Message *m);
void
leader_handle_heartbeat_reply(struct raft *r, const Raft__Message *m);

/*
 * Advances the commit index to what a majority of the voters has stored, if
 * the last of these entries is of this term. If this node's own removal is
 * thereby committed, it steps down.
 */
void
leader_advance_commit(struct raft *r, int64_t now);

/*
 * Queues the appends that the window of each member allows, and starts a
 * snapshot transfer to a member that lacks entries no longer in memory.
 */
void
leader_send_appends(struct raft *r, int64_t now);

/*
 * Returns the latest send time such that a majority of the voters, counting
 * this node, has answered a message sent then or later. SEND_TIME_NONE if too
 * few have answered, INT64_MAX if this node alone is a majority.
 */
int64_t
leader_quorum_send_time(const struct raft *r);

/* peers.c */
struct peer *
peer_find(const struct raft *r, uint64_t id);

/* Rebuilds the peers after a configuration change; keeps known progress. */
void
peers_update(struct raft *r);

/* Forgets all progress, when this node becomes leader. */
void
peers_reset(struct raft *r);

/*
 * Whether the member answered a message that was sent within the last election
 * timeout. Always true of this node itself.
 */
bool
peer_is_active(const struct raft *r, const struct peer *p, int64_t now);

/* snapshot.c */
void
snapshot_start_transfer(struct raft *r, struct peer *p, int64_t now);

/* Requests the current chunk again if its reply is overdue. */
void
snapshot_resend_overdue(struct raft *r, struct peer *p, int64_t now);
void
snapshot_handle_reply(struct raft *r, int64_t now, const Raft__Message *m);
void
snapshot_handle_chunk(struct raft *r, int64_t now, const Raft__Message *m);

/* Adds a read request for each member that needs the next chunk. */
void
snapshot_collect_reads(struct raft *r);

/* Discards the snapshot that is being received. */
void
install_discard(struct raft *r);

/* config_change.c */

/* Appends a configuration entry and puts it in force; copies items. */
enum raft_error
append_configuration(struct raft *r, const struct raft_member *items,
                     size_t count, uint64_t *index);

/*
 * Starts the change that a learner which has caught up is waiting for: its
 * promotion, or first the removal of the older voter of the same VM.
 */
void
config_change_tick(struct raft *r, int64_t now);

/* Whether only the silence of voters keeps a learner from being promoted. */
bool
is_promotion_blocked(const struct raft *r, uint64_t id, int64_t now);

/* leadership_transfer.c */

/*
 * Ends a leadership transfer whose deadline has passed. If TIMEOUT_NOW was
 * sent to the target, this node steps down.
 */
void
transfer_tick(struct raft *r, int64_t now);

/* Queues TIMEOUT_NOW once the target has the whole log. */
void
transfer_send_timeout_now(struct raft *r);

/* status.c */

/* Frees a limited number of the entries that a snapshot covers. */
void
compact_next_entries(struct raft *r);

/* raft.c */

/* Appends an entry of the current term and returns its index. */
uint64_t
log_append(struct raft *r, enum raft_entry_kind kind, struct str data);

/* Processes a decoded message addressed to this node. */
void
process_message(struct raft *r, int64_t now, const Raft__Message *m);

#endif
