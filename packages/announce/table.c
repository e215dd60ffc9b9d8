/*
 * The leader's table: each endpoint's lease and which entry may renew it.
 */
#include "table.h"

#include "mem.h"

enum {
    /* A group number is the term, followed by a counter of this size. */
    GROUP_BITS = 24,
};

#define RECORD_OF(n)                                                          \
    ((struct record *)((char *)(n)-offsetof(struct record, node)))

struct announce_table *
announce_table_create(const struct announce_table_config *config)
{
    struct announce_table *t = mem_zalloc(1, sizeof(*t));

    t->config = *config;
    t->records = map_create();
    t->claims = map_create();
    t->groups = map_create();
    t->last_group = config->term << GROUP_BITS;
    return t;
}

static void
record_free(struct record *r)
{
    str_free(&r->id);
    mem_free(r);
}

void
announce_table_destroy(struct announce_table *t)
{
    void *cursor = NULL;
    struct group *g;
    struct record *r;

    while ((g = map_next(t->groups, &cursor)) != NULL) {
        group_free(t, g);
    }
    cursor = NULL;
    while ((r = map_next(t->records, &cursor)) != NULL) {
        record_free(r);
    }
    map_destroy(t->records);
    map_destroy(t->claims);
    map_destroy(t->groups);
    heap_free(&t->leases);
    heap_free(&t->expiry);
    mem_free(t);
}

void
announce_answer_free(struct announce_answer *a)
{
    mem_free(a->revoked);
}

int64_t
lease_end(const struct announce_table *t, int64_t from)
{
    return from + t->config.lease_ns + t->config.margin_ns;
}

/* Lower bound of the time of the last known announcement. */
static int64_t
last_announced(const struct record *r)
{
    if (r->renewed && r->group->base > r->earliest) {
        return r->group->base;
    }
    return r->earliest;
}

static struct announce_interval
clamp_to_now(struct announce_interval when, int64_t now)
{
    /* An unknown time is replaced by the current time. */
    if (when.earliest == 0 || when.earliest > now) {
        when.earliest = now;
    }
    if (when.latest < when.earliest || when.latest > now) {
        when.latest = now;
    }
    return when;
}

static bool
is_late(const struct announce_table *t, const struct record *r, int64_t now,
        struct announce_interval when)
{
    return lease_end(t, when.earliest) <= now ||
           (r != NULL && when.latest < last_announced(r));
}

static struct record *
record_create(struct announce_table *t, struct str id)
{
    struct record *r = mem_zalloc(1, sizeof(*r));

    r->id = str_dup(id);
    map_put(t->records, id, r);
    return r;
}

/* Removes the record from its group and gives it a lease of its own. */
static void
restart_lease(struct announce_table *t, struct record *r, int64_t earliest,
              int64_t end)
{
    if (r->group != NULL) {
        group_revoke(t, r, end);
    }
    heap_remove(&t->leases, &r->node);
    r->earliest = earliest;
    r->node.key = end;
    heap_insert(&t->leases, &r->node);
}

enum announce_result
announce_table_put(struct announce_table *t, int64_t now,
                   const struct announce_put *put, uint64_t *claim)
{
    struct record *r = map_get(t->records, put->id);
    struct group *g = map_get_u64(t->groups, put->run);
    struct announce_interval when = clamp_to_now(put->when, now);

    *claim = 0;
    if (is_late(t, r, now, when)) {
        return ANNOUNCE_OUTDATED;
    }
    if (r == NULL) {
        r = record_create(t, put->id);
    }
    restart_lease(t, r, when.earliest, lease_end(t, when.earliest));
    r->key = put->key;
    r->deleted = false;
    if (g != NULL && g->id == put->group) {
        r->claim = *claim = ++t->last_claim;
        map_put_u64(t->claims, r->claim, r);
        group_add(g, r);
    }
    return ANNOUNCE_OK;
}

enum announce_result
announce_table_delete(struct announce_table *t, int64_t now, struct str id,
                      struct announce_interval when)
{
    struct record *r = map_get(t->records, id);

    when = clamp_to_now(when, now);
    if (r == NULL) {
        return ANNOUNCE_OK;
    }
    if (is_late(t, r, now, when)) {
        return ANNOUNCE_OUTDATED;
    }
    restart_lease(t, r, when.earliest, lease_end(t, now));
    r->deleted = true;
    return ANNOUNCE_OK;
}

void
announce_table_revoke_key(struct announce_table *t, uint64_t key)
{
    struct record *r;
    void *cursor = NULL;

    while ((r = map_next(t->records, &cursor)) != NULL) {
        if (r->key == key && r->group != NULL) {
            group_revoke(t, r, r->renewed ? r->group->node.key : r->node.key);
        }
    }
}

bool
announce_table_remove_expired(struct announce_table *t, int64_t now,
                              struct str *id)
{
    struct heap_node *n;

    group_expire(t, now);
    while ((n = heap_min(&t->leases)) != NULL && n->key <= now) {
        struct record *r = RECORD_OF(n);
        bool deleted = r->deleted;

        if (r->group != NULL) {
            group_revoke(t, r, n->key);
        }
        heap_remove(&t->leases, n);
        map_del(t->records, r->id);
        *id = deleted ? (struct str){NULL, 0} : str_dup(r->id);
        record_free(r);
        if (!deleted) {
            return true;
        }
    }
    return false;
}
