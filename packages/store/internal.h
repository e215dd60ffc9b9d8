#ifndef GV_STORE_INTERNAL_H
#define GV_STORE_INTERNAL_H

#include "store.h"

/*
 * A write to a segment of at least this size starts a new one. store_open
 * rewrites the newest segment, so this also limits what it writes.
 */
#define SEGMENT_BYTES ((size_t)8 << 20)

/*
 * File names: "log-" and "snap-" are followed by the segment number or the
 * snapshot index in 16 hexadecimal digits; temporary files end in ".tmp".
 */
#define IDENTITY_NAME "identity"
#define LOG_PREFIX "log-"
#define SNAPSHOT_PREFIX "snap-"
#define TEMPORARY_SUFFIX ".tmp"
#define DAMAGED_PREFIX "damaged-"

#define PATH_BYTES 4096

/* An entry of the raft log. */
struct position {
    uint64_t index;
    uint64_t term;
};

struct segment {
    uint64_t seq;
    uint64_t max_index; /* highest entry index in it, 0: none */
};

struct store {
    char *dir;
    const struct store_fs *fs;
    int lock_fd;
    enum store_error failed; /* if not STORE_OK, writes are refused */
    uint64_t member_id;
    uint64_t cluster_id;
    struct raft_hard_state hard;
    struct position last;          /* last entry of the log */
    struct raft_snapshot snapshot; /* newest; index 0: none */
    uint64_t snapshot_bytes;       /* size of its data */
    struct segment *segments; /* oldest first; the last one is written to */
    size_t segment_count;
    int fd;                   /* of the last segment, -1: none */
    size_t size;              /* bytes in the last segment */
    uint64_t salt;            /* checksum seed of the last segment */
    uint64_t next_frame;      /* number of the next frame */
    uint64_t temporary_count; /* temporary snapshot files created */
};

/* files.c: names are relative to s->dir. */
enum store_error
error_from_errno(void);
void
build_path(const struct store *s, const char *name, char *out);
enum store_error
files_sync_dir(const struct store *s, const char *dir);
enum store_error
files_write(const struct store *s, int fd, struct str bytes);
enum store_error
files_read(const struct store *s, const char *name, struct buf *out);

/* Writes a temporary file, syncs it, renames it and syncs the directory. */
enum store_error
files_replace(const struct store *s, const char *name, struct str bytes);
enum store_error
files_rename(const struct store *s, const char *from, const char *to);
enum store_error
files_unlink(const struct store *s, const char *name);

/*
 * Lists the numbers in the names of the files with this prefix, ascending.
 * The caller frees *numbers, also after an error.
 */
enum store_error
files_list(const struct store *s, const char *prefix, uint64_t **numbers,
           size_t *count);
enum store_error
files_remove_temporaries(const struct store *s);

/* identity.c */
enum store_error
identity_read(struct store *s, bool *found, uint64_t *last_segment);
enum store_error
identity_write(const struct store *s);

/* segment.c */

/* Creates the next segment, which becomes the last one. */
enum store_error
segment_create(struct store *s, struct position base);

/* Creates the next segment and records it in the identity file. */
enum store_error
segment_rotate(struct store *s, struct position base);

/*
 * Deletes the segments before the last one: those that hold no entry after
 * index, or all of them.
 */
enum store_error
segment_drop(struct store *s, uint64_t index, bool all);
void
segment_name(uint64_t seq, char out[32]);

#define SEGMENT_HEADER_BYTES 80

struct segment_header {
    uint64_t seq;
    uint64_t salt;
    uint64_t member_id;
    struct position base; /* last log entry before the segment */
    struct raft_hard_state hard;
    uint64_t next_frame;
};

bool
segment_header_decode(struct str bytes, struct segment_header *out);

/* frame.c */

#define FRAME_HEADER_BYTES 32
#define FRAME_TRAILER_BYTES 8

enum frame_state {
    FRAME_VALID,
    FRAME_END,     /* end of file */
    FRAME_TORN,    /* the last write did not complete */
    FRAME_DAMAGED, /* a complete frame was changed */
};

/*
 * Reads the frame at *offset. Only for FRAME_VALID it sets *payload, which
 * points into file, and advances *offset past the frame.
 */
enum frame_state
frame_read(struct str file, size_t *offset, uint64_t salt, uint64_t number,
           struct str *payload);

/* Writes the header before the payload and the trailer after it. */
void
frame_seal(char *frame, size_t payload_len, uint64_t salt, uint64_t number);

enum record_kind {
    RECORD_HARD_STATE = 1,
    RECORD_ENTRY = 2,
};

struct record {
    enum record_kind kind;
    struct raft_hard_state hard;
    struct raft_entry entry; /* data points into the payload */
};

/* Consumes the first record of payload; false if it is malformed. */
bool
record_read(struct str *payload, struct record *out);

/* Numbers are little-endian on disk. */
void
put_u64(struct buf *b, uint64_t value);
uint64_t
get_u64(const char *ptr);
void
set_u64(char *ptr, uint64_t value);

/* batch.c */
struct store_batch {
    struct buf frame; /* space for the header, then the payload */
    bool hard_changed;
    struct raft_hard_state hard;
    bool has_entries;
    struct position last;
    uint64_t max_index;
};

/*
 * replay.c: rebuilds the log in s and restored from the segments.
 * STORE_ERR_DAMAGED if there is no segment last_segment or newer.
 */
enum store_error
replay_segments(struct store *s, struct store_restored *restored,
                uint64_t last_segment);

/* snapshot.c */
enum store_error
snapshot_load_newest(struct store *s, struct store_restored *restored);
enum store_error
snapshot_remove_others(struct store *s);

/* Formats the reason into restored->reason and returns error. */
enum store_error
restored_fail(struct store_restored *restored, enum store_error error,
              const char *fmt, ...) __attribute__((format(printf, 3, 4)));

#endif
