#include <errno.h>

#include <xxhash.h>

#include "internal.h"

/*
 * The identity file holds the member and cluster id. It also names the newest
 * log segment, so that the loss of that segment is detected.
 *
 * Layout: magic, member id, cluster id, segment number, checksum (8 bytes
 * each).
 */

#define IDENTITY_MAGIC UINT64_C(0x3130304449565647)
#define IDENTITY_BYTES 40

enum store_error
identity_read(struct store *s, bool *found, uint64_t *last_segment)
{
    struct buf file = {0};
    enum store_error error = STORE_OK;

    errno = 0;
    *found = files_read(s, IDENTITY_NAME, &file) == STORE_OK;
    if (!*found) {
        error = errno == ENOENT ? STORE_OK : STORE_ERR_IO;
    }
    else if (file.len != IDENTITY_BYTES ||
             get_u64(file.ptr) != IDENTITY_MAGIC ||
             get_u64(file.ptr + 32) != XXH3_64bits(file.ptr, 32)) {
        error = STORE_ERR_DAMAGED;
    }
    else {
        s->member_id = get_u64(file.ptr + 8);
        s->cluster_id = get_u64(file.ptr + 16);
        *last_segment = get_u64(file.ptr + 24);
    }
    buf_free(&file);
    return error;
}

enum store_error
identity_write(const struct store *s)
{
    struct buf file = {0};
    enum store_error error;

    put_u64(&file, IDENTITY_MAGIC);
    put_u64(&file, s->member_id);
    put_u64(&file, s->cluster_id);
    put_u64(&file, s->segments[s->segment_count - 1].seq);
    put_u64(&file, XXH3_64bits(file.ptr, file.len));
    error = files_replace(s, IDENTITY_NAME, buf_str(&file));
    buf_free(&file);
    return error;
}
