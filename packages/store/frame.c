#include <endian.h>
#include <string.h>

#include <xxhash.h>

#include "internal.h"

/*
 * A batch is one frame: magic and payload length (4 bytes each), frame number,
 * payload checksum, header checksum (8 bytes each), payload, trailer. The
 * checksums are seeded with the segment's random salt and the frame number,
 * so that neither stale disk blocks nor the data of an entry are accepted as a
 * frame.
 */

#define FRAME_MAGIC UINT32_C(0x67766672)
#define FRAME_TRAILER UINT64_C(0xa5c3e1f0b7d9965a)
#define RECORD_ENTRY_BYTES 32
#define RECORD_HARD_STATE_BYTES 24

void
set_u64(char *ptr, uint64_t value)
{
    value = htole64(value);
    memcpy(ptr, &value, sizeof(value));
}

uint64_t
get_u64(const char *ptr)
{
    uint64_t value;

    memcpy(&value, ptr, sizeof(value));
    return le64toh(value);
}

void
put_u64(struct buf *b, uint64_t value)
{
    char space[8];

    set_u64(space, value);
    buf_append(b, space, sizeof(space));
}

void
frame_seal(char *frame, size_t payload_len, uint64_t salt, uint64_t number)
{
    uint64_t seed = salt ^ number;
    char *payload = frame + FRAME_HEADER_BYTES;

    set_u64(frame, FRAME_MAGIC | (uint64_t)payload_len << 32);
    set_u64(frame + 8, number);
    set_u64(frame + 16, XXH3_64bits_withSeed(payload, payload_len, seed));
    set_u64(frame + 24, XXH3_64bits_withSeed(frame, 24, seed));
    set_u64(payload + payload_len, FRAME_TRAILER);
}

/*
 * Tells a torn write from damage. Only the last write can be incomplete,
 * because each one is synced before the next. After it the file ends early,
 * or its end was allocated but not written and reads as zeros. A complete
 * frame ends in a nonzero trailer, so any other content was durable and has
 * been changed since.
 */
static enum frame_state
classify_invalid(struct str rest, bool header_valid)
{
    size_t needed = FRAME_HEADER_BYTES;

    if (rest.len < needed) {
        return FRAME_TORN;
    }
    if (header_valid) {
        needed += (size_t)(get_u64(rest.ptr) >> 32) + FRAME_TRAILER_BYTES;
        if (rest.len < needed) {
            return FRAME_TORN;
        }
    }
    return get_u64(rest.ptr + rest.len - 8) == 0 ? FRAME_TORN : FRAME_DAMAGED;
}

enum frame_state
frame_read(struct str file, size_t *offset, uint64_t salt, uint64_t number,
           struct str *payload)
{
    struct str rest = {file.ptr + *offset, file.len - *offset};
    uint64_t seed = salt ^ number;
    bool header_valid;
    size_t len;

    if (rest.len == 0) {
        return FRAME_END;
    }
    header_valid =
        rest.len >= FRAME_HEADER_BYTES &&
        get_u64(rest.ptr + 24) == XXH3_64bits_withSeed(rest.ptr, 24, seed) &&
        (uint32_t)get_u64(rest.ptr) == FRAME_MAGIC &&
        get_u64(rest.ptr + 8) == number;
    if (!header_valid) {
        return classify_invalid(rest, false);
    }
    len = (size_t)(get_u64(rest.ptr) >> 32);
    if (rest.len < FRAME_HEADER_BYTES + len + FRAME_TRAILER_BYTES) {
        return FRAME_TORN;
    }
    *payload = str_from(rest.ptr + FRAME_HEADER_BYTES, len);
    if (get_u64(payload->ptr + len) != FRAME_TRAILER ||
        get_u64(rest.ptr + 16) !=
            XXH3_64bits_withSeed(payload->ptr, len, seed)) {
        return classify_invalid(rest, true);
    }
    *offset += FRAME_HEADER_BYTES + len + FRAME_TRAILER_BYTES;
    return FRAME_VALID;
}

static bool
read_hard_state(struct str *payload, struct record *out)
{
    if (payload->len < RECORD_HARD_STATE_BYTES) {
        return false;
    }
    out->hard.term = get_u64(payload->ptr + 8);
    out->hard.vote = get_u64(payload->ptr + 16);
    payload->ptr += RECORD_HARD_STATE_BYTES;
    payload->len -= RECORD_HARD_STATE_BYTES;
    return true;
}

static bool
read_entry(struct str *payload, struct record *out)
{
    uint64_t len;

    if (payload->len < RECORD_ENTRY_BYTES) {
        return false;
    }
    len = get_u64(payload->ptr + 24);
    if (len > payload->len - RECORD_ENTRY_BYTES) {
        return false;
    }
    out->entry = (struct raft_entry){
        .kind = (enum raft_entry_kind)(get_u64(payload->ptr) >> 32),
        .index = get_u64(payload->ptr + 8),
        .term = get_u64(payload->ptr + 16),
        .data = {payload->ptr + RECORD_ENTRY_BYTES, len},
    };
    payload->ptr += RECORD_ENTRY_BYTES + len;
    payload->len -= RECORD_ENTRY_BYTES + len;
    return out->entry.index != 0;
}

bool
record_read(struct str *payload, struct record *out)
{
    if (payload->len < 8) {
        return false;
    }
    out->kind = (enum record_kind)(uint32_t)get_u64(payload->ptr);
    switch (out->kind) {
    case RECORD_HARD_STATE:
        return read_hard_state(payload, out);
    case RECORD_ENTRY:
        return read_entry(payload, out);
    }
    return false;
}
