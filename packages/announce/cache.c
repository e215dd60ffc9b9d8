/*
 * The entry's half: endpoints whose leases this entry renews, in the order of
 * their last announcement.
 */
#include "announce.h"
#include "map.h"
#include "mem.h"

enum {
    /* A longer announcement is forwarded each time, which bounds memory. */
    BODY_MAX = 4096,
    /* The clocks' relative drift is below one in DRIFT_PART. */
    DRIFT_PART = 100,
};

struct held {
    struct str id;
    struct str body;
    uint64_t key;
    uint64_t claim;
    int64_t last;      /* announcement */
    uint64_t taken_in; /* message that named the claim first; 0: none */
    bool taken;        /* ... and was answered */
    struct held *older;
    struct held *newer;
};

struct dropped {
    struct announce_released released;
    uint64_t sent_in;
    struct dropped *next;
};

/* An exchange with the leader: it had the time stamp between both. */
struct sample {
    int64_t sent;
    int64_t received;
    int64_t stamp;
};

struct announce_cache {
    int64_t lease_ns;
    struct map *held;   /* id to struct held */
    struct map *claims; /* number to struct held */
    struct held *oldest;
    struct held *newest;
    struct dropped *dropped; /* not known to have arrived */
    size_t dropped_count;
    size_t fresh; /* held and not known to be taken */
    uint64_t seq;
    uint64_t heard;
    int64_t sent; /* when seq was sent */
    uint64_t group;
    bool synced;
    struct sample sample;
};

struct announce_cache *
announce_cache_create(int64_t lease_ns)
{
    struct announce_cache *c = mem_zalloc(1, sizeof(*c));

    c->lease_ns = lease_ns;
    c->held = map_create();
    c->claims = map_create();
    return c;
}

static void
unlink_held(struct announce_cache *c, struct held *h)
{
    *(h->older == NULL ? &c->oldest : &h->older->newer) = h->newer;
    *(h->newer == NULL ? &c->newest : &h->newer->older) = h->older;
}

static void
append_held(struct announce_cache *c, struct held *h)
{
    h->older = c->newest;
    h->newer = NULL;
    *(c->newest == NULL ? &c->oldest : &c->newest->newer) = h;
    c->newest = h;
}

static void
forget(struct announce_cache *c, struct held *h)
{
    unlink_held(c, h);
    c->fresh -= h->taken ? 0 : 1;
    map_del(c->held, h->id);
    map_del_u64(c->claims, h->claim);
    str_free(&h->id);
    str_free(&h->body);
    mem_free(h);
}

static void
forget_all(struct announce_cache *c)
{
    struct dropped *d;

    while (c->oldest != NULL) {
        forget(c, c->oldest);
    }
    while ((d = c->dropped) != NULL) {
        c->dropped = d->next;
        mem_free(d);
    }
    c->dropped_count = 0;
}

void
announce_cache_destroy(struct announce_cache *c)
{
    forget_all(c);
    map_destroy(c->held);
    map_destroy(c->claims);
    mem_free(c);
}

void
announce_cache_reset(struct announce_cache *c)
{
    forget_all(c);
    c->heard = c->seq;
    c->group = 0;
    c->synced = false;
}

bool
announce_cache_holds(const struct announce_cache *c, struct str id,
                     struct str body, uint64_t key)
{
    const struct held *h = map_get(c->held, id);

    return h != NULL && h->key == key && str_eq(h->body, body);
}

static void
touch(struct announce_cache *c, struct held *h, int64_t at)
{
    if (at > h->last) {
        h->last = at;
    }
    unlink_held(c, h);
    append_held(c, h);
    /* Times hardly ever arrive out of order; the list is kept sorted. */
    while (h->older != NULL && h->older->last > h->last) {
        struct held *before = h->older;

        unlink_held(c, h);
        h->newer = before;
        h->older = before->older;
        *(h->older == NULL ? &c->oldest : &h->older->newer) = h;
        before->older = h;
    }
}

void
announce_cache_seen(struct announce_cache *c, struct str id, int64_t at)
{
    struct held *h = map_get(c->held, id);

    if (h != NULL) {
        touch(c, h, at);
    }
}

void
announce_cache_granted(struct announce_cache *c, struct str id,
                       struct str body, uint64_t key, int64_t at,
                       uint64_t group, uint64_t claim)
{
    struct held *h = map_get(c->held, id);

    if (claim == 0 || group != c->group || !c->synced ||
        (h != NULL && h->claim > claim)) {
        return;
    }
    if (h != NULL) {
        forget(c, h);
    }
    if (body.len > BODY_MAX) {
        return;
    }
    h = mem_zalloc(1, sizeof(*h));
    h->id = str_dup(id);
    h->body = str_dup(body);
    h->key = key;
    h->claim = claim;
    h->last = at;
    map_put(c->held, id, h);
    map_put_u64(c->claims, claim, h);
    append_held(c, h);
    touch(c, h, at);
    c->fresh++;
}

static struct announce_when
leader_time(const struct announce_cache *c, int64_t at)
{
    const struct sample *s = &c->sample;
    int64_t drift = (at > s->sent ? at - s->sent : s->sent - at) / DRIFT_PART;

    return (struct announce_when){s->stamp + (at - s->received) - drift,
                                  s->stamp + (at - s->sent) + drift};
}

bool
announce_cache_when(const struct announce_cache *c, int64_t at,
                    struct announce_when *out)
{
    /* The drift since would make a new announcement look like a late one. */
    if (!c->synced || at - c->sample.received > c->lease_ns) {
        return false;
    }
    *out = leader_time(c, at);
    return true;
}

uint64_t
announce_cache_group(const struct announce_cache *c)
{
    return c->group;
}

uint64_t
announce_cache_seq(const struct announce_cache *c)
{
    return c->seq;
}

size_t
announce_cache_count(const struct announce_cache *c)
{
    return map_count(c->held);
}

static void
release_aged(struct announce_cache *c, int64_t now)
{
    struct held *h;

    while ((h = c->oldest) != NULL && now - h->last > c->lease_ns / 2) {
        struct dropped *d = mem_zalloc(1, sizeof(*d));

        d->released.claim = h->claim;
        d->released.earliest = leader_time(c, h->last).earliest;
        d->next = c->dropped;
        c->dropped = d;
        c->dropped_count++;
        forget(c, h);
    }
}

static void
fill_taken(struct announce_cache *c, struct announce_renewal *out)
{
    out->taken = mem_zalloc(c->fresh + 1, sizeof(*out->taken));
    /* New claims are near the end of the list. */
    for (struct held *h = c->newest; h != NULL && out->taken_count < c->fresh;
         h = h->older) {
        if (h->taken) {
            continue;
        }
        h->taken_in = h->taken_in == 0 ? c->seq : h->taken_in;
        out->taken[out->taken_count++] = h->claim;
    }
}

static void
fill_released(struct announce_cache *c, struct announce_renewal *out)
{
    out->released = mem_zalloc(c->dropped_count + 1, sizeof(*out->released));
    for (struct dropped *d = c->dropped; d != NULL; d = d->next) {
        d->sent_in = d->sent_in == 0 ? c->seq : d->sent_in;
        out->released[out->released_count++] = d->released;
    }
}

void
announce_cache_renewal(struct announce_cache *c, int64_t now,
                       struct announce_renewal *out)
{
    *out = (struct announce_renewal){
        .seq = ++c->seq, .heard = c->heard, .group = c->group};
    c->sent = now;
    release_aged(c, now);
    if (c->oldest != NULL) {
        out->oldest = leader_time(c, c->oldest->last).earliest;
    }
    fill_taken(c, out);
    fill_released(c, out);
}

void
announce_renewal_free(struct announce_renewal *v)
{
    mem_free(v->taken);
    mem_free(v->released);
}

/* A shorter exchange tells the leader's time more exactly; an old one has
 * drifted since. */
static void
take_sample(struct announce_cache *c, int64_t now, int64_t stamp)
{
    struct sample s = {c->sent, now, stamp};
    int64_t width = c->sample.received - c->sample.sent +
                    2 * (now - c->sample.received) / DRIFT_PART;

    if (!c->synced || s.received - s.sent <= width) {
        c->sample = s;
    }
    c->synced = true;
}

static void
settle_taken(struct announce_cache *c, uint64_t seq)
{
    for (struct held *h = c->newest; h != NULL && c->fresh != 0;
         h = h->older) {
        if (!h->taken && h->taken_in != 0 && h->taken_in <= seq) {
            h->taken = true;
            c->fresh--;
        }
    }
}

static void
settle_dropped(struct announce_cache *c, uint64_t seq)
{
    struct dropped **at = &c->dropped;

    while (*at != NULL) {
        struct dropped *d = *at;

        if (d->sent_in == 0 || d->sent_in > seq) {
            at = &d->next;
            continue;
        }
        *at = d->next;
        c->dropped_count--;
        mem_free(d);
    }
}

bool
announce_cache_answered(struct announce_cache *c, int64_t now,
                        const struct announce_answer *a)
{
    if (a->seq != c->seq || a->seq == c->heard) {
        return false;
    }
    if (a->group != c->group) {
        forget_all(c);
        c->group = a->group;
        c->synced = false;
    }
    c->heard = a->seq;
    take_sample(c, now, a->stamp);
    settle_taken(c, a->seq);
    settle_dropped(c, a->seq);
    for (size_t i = 0; i < a->revoked_count; i++) {
        struct held *h = map_get_u64(c->claims, a->revoked[i]);

        if (h != NULL) {
            forget(c, h);
        }
    }
    return true;
}
