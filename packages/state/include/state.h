#ifndef GV_STATE_H
#define GV_STATE_H

#include "state_cmd.h"
#include "state_types.h"
#include "state_view.h"

/*
 * The replicated state machine. It does no I/O, reads no clock and uses no
 * global state: applying the same commands in the same order gives the same
 * state and the same snapshot bytes on every replica. All pointers and
 * strings that a look-up returns belong to the state and are valid until the
 * next state_apply.
 */

struct state;

/* An empty state; a bootstrap command or a snapshot gives it an identity. */
struct state *
state_create(void);
void
state_destroy(struct state *s);

struct state_reject {
    size_t item; /* index in the batch */
    enum state_reason reason;
};

/* What the first command of a duplicate got. */
struct state_first {
    enum state_result_kind kind;
    uint64_t version;
    uint64_t number;
    enum state_reason reason;
};

struct state_result {
    enum state_result_kind kind;
    enum state_command command;
    union {
        struct {
            uint64_t version; /* of the list, or the configuration version */
            uint64_t number;  /* of the key, worker, job or record */
            size_t changed;   /* items, jobs or records changed */
            const uint64_t
                *jobs; /* job cancel: changed jobs, `changed` long */
            const struct state_reject *rejects;
            size_t reject_count;
        } applied;
        struct {
            uint64_t version; /* the current one of the list */
            enum state_reason reason;
        } conflict;
        struct state_first duplicate;
        struct {
            enum state_reason reason;
        } not_found;
        struct {
            enum state_reason reason;
        } invalid;
    } u;
};

/*
 * Applies one committed log entry. Any bytes are allowed; an empty entry (as
 * a new leader appends) only moves the index. Indexes must rise; an index at
 * or below state_index is ignored and reported as invalid.
 */
void
state_apply(struct state *s, uint64_t index, struct str bytes,
            struct state_result *result);

/* The index of the last applied entry. */
uint64_t
state_index(const struct state *s);

/* ---- Snapshots ---- */

/* Appends the whole state to out. */
void
state_encode(const struct state *s, struct buf *out);

/*
 * The same bytes in slices, with commands applied in between: they are those
 * of the state when the snapshot began. begin drops an earlier snapshot that
 * was not taken. step encodes about that many more bytes and returns whether
 * all are encoded; only then take gives them away and ends the snapshot.
 */
void
state_snapshot_begin(struct state *s);
bool
state_snapshot_step(struct state *s, size_t bytes);

/* The bytes of a snapshot are those of all buffers in order. */
struct state_chunks {
    struct buf *list;
    size_t count;
};

void
state_snapshot_take(struct state *s, struct state_chunks *out);
void
state_snapshot_abort(struct state *s);
void
state_chunks_free(struct state_chunks *chunks);

/* Returns NULL when the bytes are damaged or of an unknown format. */
struct state *
state_decode(struct str bytes);

#endif
