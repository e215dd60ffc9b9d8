#ifndef GV_RAFT_INTERNAL_H
#define GV_RAFT_INTERNAL_H

#include "clock.h"
#include "entries.h"
#include "members.h"
#include "raft.h"
#include "raft.pb-c.h"
#include "rng.h"

#define STAMP_NONE INT64_MIN

enum peer_state {
    PEER_PROBE,     /* one message at a time until a match is found */
    PEER_REPLICATE, /* pipelined */
    PEER_SNAPSHOT,
};

/* Progress of a snapshot to one member; one part is under way at a time. */
struct transfer {
    uint64_t index;
    uint64_t offset; /* what the member has */
    uint64_t total;  /* 0 until the first part was read */
    bool read_wanted;
    bool read_pending;
    bool resent;
    int64_t resend_deadline;
};

enum vote {
    VOTE_NONE,
    VOTE_GRANTED,
    VOTE_REFUSED,
};

struct peer {
    uint64_t id;
    enum peer_state state;
    uint64_t match; /* durable there */
    uint64_t next;
    bool probe_sent;
    bool check_match; /* an acknowledgement seems lost; ask again */
    int64_t stamp;    /* sending time of the newest message answered */
    enum vote vote;
    struct transfer snapshot;
};

struct messages {
    struct raft_message *items;
    size_t count;
    size_t cap;
};

/* A write handed out and not yet durable, and what waits for it. */
struct write {
    uint64_t number;
    uint64_t last; /* last log index durable with it */
    struct messages held;
};

/* The snapshot being received. */
struct install {
    uint64_t from;
    uint64_t index;
    uint64_t term;
    uint64_t next;      /* offset expected */
    bool pending;       /* complete, raft_installed not yet called */
    struct str members; /* of the complete snapshot */
};

struct raft {
    struct raft_config cfg;
    struct rng rng;
    bool failed;

    enum raft_role role;
    uint64_t term;
    uint64_t vote;
    uint64_t leader;
    bool hard_dirty;
    bool status_dirty;

    struct entries log;
    uint64_t compact_to; /* entries up to here are being freed */
    uint64_t durable;
    uint64_t unwritten; /* first index not yet handed out for writing */
    uint64_t commit;
    uint64_t applied;
    struct members members;
    struct raft_snapshot snapshot;

    struct peer *peers; /* of the current configuration, with this node */
    size_t peer_count;
    int64_t election_deadline;
    int64_t heard; /* when a leader was last heard, or the start */

    /* Leader. */
    int64_t elected;
    int64_t heartbeat_deadline;
    uint64_t term_start; /* index of the entry that starts the term */
    uint64_t transfer_to;
    int64_t transfer_deadline;
    bool transfer_sent;
    bool lease_given_up;

    /* Follower: the acknowledgement to send. */
    bool ack_due;
    uint64_t ack_match;
    int64_t ack_stamp;
    struct install install;

    struct messages outbox;
    struct messages held; /* wait for the next write */
    struct write *writes;
    size_t write_count;
    uint64_t write_number;

    /* Storage of the current raft_output. */
    struct raft_install *installs;
    size_t install_count;
    struct raft_snapshot_read *reads;
    size_t read_count;
    struct raft_output out;
};

/* message.c */
void
message_init(const struct raft *r, Raft__Message *m, Raft__Kind kind,
             uint64_t to);

/* Encodes m and queues it, at once or behind what is yet to be written. */
void
message_send(struct raft *r, const Raft__Message *m);
void
message_hold(struct raft *r, const Raft__Message *m);
void
messages_move(struct messages *to, struct messages *from);
void
messages_clear(struct messages *m);
Raft__Message *
message_decode(struct str bytes);

/* election.c */
bool
election_heard(const struct raft *r, int64_t now);
void
election_reset(struct raft *r, int64_t now);
/* Frees some of the entries that a snapshot covers. */
void
compact_step(struct raft *r);
void
election_tick(struct raft *r, int64_t now);
void
election_campaign(struct raft *r, int64_t now, bool transfer);
void
election_asked(struct raft *r, int64_t now, const Raft__Message *m);
void
election_answered(struct raft *r, int64_t now, const Raft__Message *m);
void
become_follower(struct raft *r, int64_t now, uint64_t term, uint64_t leader);

/* follower.c */
void
follower_append(struct raft *r, int64_t now, const Raft__Message *m);
void
follower_heartbeat(struct raft *r, int64_t now, const Raft__Message *m);

/* Queues the acknowledgement that is due, if any. */
void
follower_acknowledge(struct raft *r);

/* The largest index up to index whose term is at most term. */
uint64_t
log_match_hint(const struct raft *r, uint64_t index, uint64_t term);

/* leader.c */
void
become_leader(struct raft *r, int64_t now);
void
leader_tick(struct raft *r, int64_t now);
void
leader_append_reply(struct raft *r, int64_t now, const Raft__Message *m);
void
leader_heartbeat_reply(struct raft *r, const Raft__Message *m);
void
leader_commit(struct raft *r, int64_t now);

/* Queues the appends that the windows allow. */
void
leader_send(struct raft *r, int64_t now);
int64_t
leader_quorum_stamp(const struct raft *r);

/* peers.c */
struct peer *
peer_find(const struct raft *r, uint64_t id);

/* Follows the current configuration, keeping the progress of those left. */
void
peers_update(struct raft *r);
void
peers_reset(struct raft *r);
bool
peer_active(const struct raft *r, const struct peer *p, int64_t now);

/* install.c */
void
snapshot_start(struct raft *r, struct peer *p, int64_t now);
void
snapshot_tick(struct raft *r, struct peer *p, int64_t now);
void
snapshot_reply(struct raft *r, int64_t now, const Raft__Message *m);
void
snapshot_receive(struct raft *r, int64_t now, const Raft__Message *m);
void
snapshot_collect_reads(struct raft *r);
void
install_forget(struct raft *r);

/* change.c */
enum raft_error
change_append(struct raft *r, const struct raft_member *items, size_t count,
              uint64_t *index);

/* Replaces and promotes members as far as possible. */
void
change_tick(struct raft *r, int64_t now);

/* handover.c */
void
transfer_tick(struct raft *r, int64_t now);
void
transfer_send(struct raft *r);

/* raft.c */
uint64_t
log_append(struct raft *r, enum raft_entry_kind kind, struct str data);
void
message_step(struct raft *r, int64_t now, const Raft__Message *m);

#endif
