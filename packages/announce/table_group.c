/*
 * Groups: the leases that one entry renews, and the handling of its messages.
 */
#include "mem.h"
#include "table.h"

enum {
    /* A group without leases is freed after so many lease times without a
     * message. */
    IDLE_LEASES = 10,
};

#define GROUP_OF(n)                                                           \
    ((struct group *)((char *)(n)-offsetof(struct group, node)))

void
group_add(struct group *g, struct record *r)
{
    r->group = g;
    r->prev = NULL;
    r->next = g->records;
    if (g->records != NULL) {
        g->records->prev = r;
    }
    g->records = r;
}

void
group_remove(struct announce_table *t, struct record *r, int64_t end)
{
    struct group *g = r->group;

    *(r->prev == NULL ? &g->records : &r->prev->next) = r->next;
    if (r->next != NULL) {
        r->next->prev = r->prev;
    }
    map_del_u64(t->claims, r->claim);
    if (r->renewed) {
        r->earliest = g->base > r->earliest ? g->base : r->earliest;
        g->renewed--;
    }
    r->claim = 0;
    r->renewed = false;
    r->group = NULL;
    heap_remove(&t->leases, &r->node);
    r->node.key = end;
    heap_insert(&t->leases, &r->node);
}

void
group_revoke(struct announce_table *t, struct record *r, int64_t end)
{
    struct revoked *v = mem_zalloc(1, sizeof(*v));

    v->claim = r->claim;
    v->next = r->group->revoked;
    r->group->revoked = v;
    group_remove(t, r, end);
}

/* Frees the revocations that the entry has confirmed, or all. */
static void
free_revoked(struct group *g, uint64_t heard, bool all)
{
    struct revoked **at = &g->revoked;

    while (*at != NULL) {
        struct revoked *v = *at;

        if (!all && (v->sent_in == 0 || v->sent_in > heard)) {
            at = &v->next;
            continue;
        }
        *at = v->next;
        mem_free(v);
    }
}

/* Removes all records from g; their leases end when they did before. */
static void
remove_records(struct announce_table *t, struct group *g)
{
    while (g->records != NULL) {
        struct record *r = g->records;

        group_remove(t, r, r->renewed ? g->node.key : r->node.key);
    }
    free_revoked(g, 0, true);
}

void
group_free(struct announce_table *t, struct group *g)
{
    remove_records(t, g);
    heap_remove(&t->expiry, &g->node);
    map_del_u64(t->groups, g->run);
    mem_free(g);
}

void
group_expire(struct announce_table *t, int64_t now)
{
    struct heap_node *n;

    while ((n = heap_min(&t->expiry)) != NULL && n->key <= now) {
        group_free(t, GROUP_OF(n));
    }
}

static struct group *
find_group(struct announce_table *t, uint64_t run)
{
    struct group *g = map_get_u64(t->groups, run);

    if (g == NULL) {
        g = mem_zalloc(1, sizeof(*g));
        g->run = run;
        g->id = ++t->last_group;
        map_put_u64(t->groups, run, g);
    }
    return g;
}

static void
take_claim(struct announce_table *t, struct group *g, uint64_t claim)
{
    struct record *r = map_get_u64(t->claims, claim);

    if (r != NULL && r->group == g && !r->renewed) {
        r->renewed = true;
        g->renewed++;
        heap_remove(&t->leases, &r->node);
    }
}

static void
release_claim(struct announce_table *t, struct group *g,
              const struct announce_release *in)
{
    struct record *r = map_get_u64(t->claims, in->claim);
    int64_t end = lease_end(t, in->earliest);

    if (r == NULL || r->group != g) {
        return;
    }
    /* The time from the entry is at least as new as the one known here. */
    group_remove(t, r, end);
    r->earliest = in->earliest > r->earliest ? in->earliest : r->earliest;
}

/*
 * All endpoints whose leases the entry renews were announced at oldest or
 * later. A newly taken endpoint may have been announced before the others, so
 * that the lease of the group then may end earlier.
 */
static void
extend_lease(struct announce_table *t, struct group *g, int64_t now,
             const struct announce_renewal *v)
{
    int64_t oldest = v->oldest < now ? v->oldest : now;
    size_t before = g->renewed;

    for (size_t i = 0; i < v->taken_count && v->oldest != 0; i++) {
        take_claim(t, g, v->taken[i]);
    }
    if (g->renewed == 0) {
        return;
    }
    if (v->oldest != 0 && (oldest > g->base || g->renewed != before)) {
        g->base = oldest;
    }
}

static void
set_expiry(struct announce_table *t, struct group *g, int64_t now)
{
    heap_remove(&t->expiry, &g->node);
    g->node.key = g->renewed == 0 ? now + IDLE_LEASES * t->config.lease_ns
                                  : lease_end(t, g->base);
    heap_insert(&t->expiry, &g->node);
}

static void
fill_answer(struct group *g, int64_t now, struct announce_answer *out)
{
    size_t count = 0;

    out->seq = g->seq;
    out->group = g->id;
    out->stamp = now;
    for (const struct revoked *v = g->revoked; v != NULL; v = v->next) {
        count++;
    }
    out->revoked = mem_zalloc(count + 1, sizeof(*out->revoked));
    for (struct revoked *v = g->revoked; v != NULL; v = v->next) {
        v->sent_in = v->sent_in == 0 ? g->seq : v->sent_in;
        out->revoked[out->revoked_count++] = v->claim;
    }
}

bool
announce_table_renew(struct announce_table *t, int64_t now, uint64_t run,
                     const struct announce_renewal *v,
                     struct announce_answer *out)
{
    struct group *g;

    *out = (struct announce_answer){0};
    group_expire(t, now);
    g = find_group(t, run);
    if (v->seq <= g->seq) {
        return false;
    }
    g->seq = v->seq;
    if (v->group == g->id) {
        free_revoked(g, v->heard, false);
        for (size_t i = 0; i < v->released_count; i++) {
            release_claim(t, g, &v->released[i]);
        }
        extend_lease(t, g, now, v);
    }
    else {
        /* The entry has discarded its earlier claims. */
        remove_records(t, g);
        g->id = ++t->last_group;
        g->base = 0;
    }
    set_expiry(t, g, now);
    fill_answer(g, now, out);
    return true;
}
