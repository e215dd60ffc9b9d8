#ifndef GV_STATE_H
#define GV_STATE_H

#include "state_cmd.h"
#include "state_types.h"
#include "state_view.h"

/*
 * The replicated state machine. It does no I/O, reads no clock and uses no
 * global state, so that the same commands in the same order give the same
 * state and the same snapshot bytes on every replica. Pointers and strings in
 * results and from look-ups belong to the state and are valid until the next
 * state_apply.
 */

struct state;

/*
 * Returns an empty state, whose cluster id is 0 until a bootstrap command is
 * applied. Free it with state_destroy, which accepts NULL.
 */
struct state *
state_create(void);
void
state_destroy(struct state *s);

/* An item of a batch that had no effect. */
struct state_reject {
    size_t item; /* index of the item in the batch */
    enum state_reason reason;
};

/* The result of the command that a duplicate repeats. */
struct state_first_result {
    enum state_result_kind kind;
    uint64_t version;
    uint64_t number;
    enum state_reason reason;
};

/* The result of one command; kind tells which member of u is set. */
struct state_result {
    enum state_result_kind kind;
    enum state_command command;
    union {
        struct {
            uint64_t version; /* of the list, or the configuration version */
            uint64_t number;  /* of the key, worker, job or record */
            size_t changed;   /* items, jobs or records changed */
            const uint64_t *jobs; /* of job cancel: `changed` job numbers */
            const struct state_reject *rejects;
            size_t reject_count;
        } applied;
        struct {
            uint64_t version; /* current version of the list, else 0 */
            enum state_reason reason;
        } conflict;
        struct state_first_result duplicate;
        struct {
            enum state_reason reason;
        } not_found;
        struct {
            enum state_reason reason;
        } invalid;
    } u;
};

/*
 * Applies one committed log entry. Any bytes are allowed: those that do not
 * decode as a command are reported as invalid and, like an empty entry (as a
 * new leader appends), only advance the index. An entry whose index is not
 * above state_index is ignored and reported as invalid.
 */
void
state_apply(struct state *s, uint64_t index, struct str bytes,
            struct state_result *result);

/* Returns the index of the last applied entry, 0 before the first one. */
uint64_t
state_index(const struct state *s);

/* ---- Snapshots ---- */

/* Appends a snapshot of the whole state to out. */
void
state_encode(const struct state *s, struct buf *out);

/*
 * An incremental snapshot: commands may be applied between the steps, and the
 * bytes are those that state_encode would have given at state_snapshot_begin.
 * state_snapshot_begin discards a snapshot in progress. state_snapshot_step
 * encodes about `bytes` more bytes and returns whether the snapshot is
 * complete. Once it is, state_snapshot_take passes the chunks to the caller,
 * who frees them with state_chunks_free, and ends the snapshot.
 */
void
state_snapshot_begin(struct state *s);
bool
state_snapshot_step(struct state *s, size_t bytes);

/* A snapshot's bytes: the buffers of the list, concatenated. */
struct state_chunks {
    struct buf *list;
    size_t count;
};

void
state_snapshot_take(struct state *s, struct state_chunks *out);

/* Discards the snapshot in progress, if there is one. */
void
state_snapshot_abort(struct state *s);
void
state_chunks_free(struct state_chunks *chunks);

/*
 * Returns the state that a snapshot holds, to be freed with state_destroy, or
 * NULL when the bytes are damaged or of an unknown format.
 */
struct state *
state_decode(struct str bytes);

#endif
