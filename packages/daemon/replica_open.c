/*
 * Opens the data directory and restores the member id and the state.
 */
#include <sodium.h>

#include "control.h"
#include "log.h"
#include "replica_impl.h"

enum {
    SNAPSHOT_READ_BYTES = 1 << 20,
};

static bool
read_snapshot(struct store *store, uint64_t index, struct buf *out)
{
    uint64_t total = 0;

    do {
        size_t before = out->len;
        enum store_error error = store_snapshot_read(
            store, index, out->len, SNAPSHOT_READ_BYTES, out, &total);
        if (error != STORE_OK || out->len == before) {
            return false;
        }
    } while (out->len < total);
    return true;
}

static bool
restore_state(struct replica *r, struct store *store,
              const struct raft_snapshot *snapshot)
{
    struct buf bytes = {0};
    bool ok;

    if (snapshot->index == 0) {
        r->state = state_create();
        return true;
    }
    ok = read_snapshot(store, snapshot->index, &bytes);
    if (ok) {
        r->state = state_decode(buf_str(&bytes));
        r->snapshot_index = snapshot->index;
    }
    buf_free(&bytes);
    return ok && r->state != NULL;
}

/* Opens the store. A damaged data directory is renamed and a new store is
 * opened in its place. */
static struct store *
open_store(const char *dir, struct store_restored *restored)
{
    struct store *store = NULL;
    enum store_error error = store_open(dir, NULL, restored, &store);

    if (error == STORE_ERR_DAMAGED || error == STORE_ERR_IDENTITY) {
        log_write(LOG_LEVEL_ERR,
                  "storage: %s is damaged (%s); renaming it and joining as a "
                  "new member",
                  dir, restored->reason);
        store_restored_free(restored);
        error = store_set_aside(dir, NULL);
        if (error == STORE_OK) {
            error = store_open(dir, NULL, restored, &store);
        }
    }
    if (error != STORE_OK) {
        log_write(LOG_LEVEL_CRIT, "storage: cannot open %s: %s (%s)", dir,
                  store_error_text(error), restored->reason);
        return NULL;
    }
    if (restored->torn_bytes != 0) {
        log_write(LOG_LEVEL_NOTICE,
                  "storage: truncated an incomplete write of %llu bytes",
                  (unsigned long long)restored->torn_bytes);
    }
    return store;
}

static bool
ensure_member_id(struct replica *r, struct store *store,
                 const struct store_restored *restored)
{
    r->member_id = restored->member_id;
    r->stored_cluster_id = restored->cluster_id;
    if (restored->state == STORE_HEALTHY) {
        return true;
    }
    while (r->member_id <= CLUSTER_UNKNOWN) {
        randombytes_buf(&r->member_id, sizeof(r->member_id));
    }
    return store_init(store, r->member_id, 0) == STORE_OK;
}

struct store *
replica_open(struct replica *r, struct store_restored *restored)
{
    struct str dir = str_dup(r->control->settings->data);
    struct store *store = open_store(dir.ptr, restored);

    str_free(&dir);
    if (store == NULL) {
        return NULL;
    }
    if (!ensure_member_id(r, store, restored) ||
        !restore_state(r, store, &restored->raft.snapshot)) {
        log_write(LOG_LEVEL_CRIT, "storage: cannot restore the state");
        store_close(store);
        return NULL;
    }
    return store;
}
