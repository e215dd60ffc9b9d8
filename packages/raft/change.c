#include <string.h>

#include "internal.h"

/* Membership changes, one member at a time (thesis, section 4.1). */

enum raft_error
change_append(struct raft *r, const struct raft_member *items, size_t count,
              uint64_t *index)
{
    struct str bytes = members_encode(items, count);
    uint64_t at = log_append(r, RAFT_ENTRY_CONFIG, bytes);

    members_push(&r->members, at, bytes);
    str_free(&bytes);
    peers_update(r);
    r->status_dirty = true;
    if (index != NULL) {
        *index = at;
    }
    return RAFT_OK;
}

/*
 * Two configurations may only differ by one member if the earlier one is
 * committed and the leader has committed an entry of its term; without the
 * latter two leaders could change the same configuration differently (Ongaro,
 * raft-dev, 2015).
 */
static enum raft_error
change_allowed(const struct raft *r)
{
    if (r->failed) {
        return RAFT_ERR_FAILED;
    }
    if (r->role != RAFT_LEADER) {
        return RAFT_ERR_NOT_LEADER;
    }
    if (r->commit < r->term_start) {
        return RAFT_ERR_NOT_READY;
    }
    if (r->transfer_to != 0 ||
        members_current(&r->members)->index > r->commit) {
        return RAFT_ERR_BUSY;
    }
    return RAFT_OK;
}

/* A learner counts as caught up by what it has synced, not received. */
static bool
caught_up(const struct raft *r, uint64_t id, int64_t now)
{
    const struct peer *p = peer_find(r, id);

    return p != NULL && peer_active(r, p, now) &&
           p->match + r->cfg.catch_up_entries >= entries_last(&r->log) &&
           p->match >= r->term_start;
}

/* Copies the current members without id, and without learners of vm. */
static size_t
copy_without(const struct raft *r, uint64_t id, struct str vm,
             struct raft_member *out)
{
    const struct configuration *c = members_current(&r->members);
    size_t n = 0;

    for (size_t i = 0; i < c->count; i++) {
        const struct raft_member *m = &c->items[i];

        if (m->id != id && (m->voter || vm.len == 0 || !str_eq(m->vm, vm))) {
            out[n] = *m;
            n++;
        }
    }
    return n;
}

static enum raft_error
add_learner(struct raft *r, const struct raft_member *member, uint64_t *index)
{
    struct raft_member items[MEMBERS_MAX + 1];
    size_t n = copy_without(r, member->id, member->vm, items);

    if (member->id == 0 || n >= MEMBERS_MAX ||
        configuration_find(members_current(&r->members), member->id)) {
        return RAFT_ERR_INVALID;
    }
    items[n] = *member;
    items[n].voter = false;
    return change_append(r, items, n + 1, index);
}

/* Voters without id that answered within the election timeout. */
static size_t
active_without(const struct raft *r, uint64_t id, int64_t now)
{
    const struct configuration *c = members_current(&r->members);
    size_t active = 0;

    for (size_t i = 0; i < r->peer_count; i++) {
        const struct peer *p = &r->peers[i];

        if (p->id != id && configuration_votes(c, p->id)) {
            active += peer_active(r, p, now);
        }
    }
    return active;
}

/*
 * A change must not leave the quorum dependent on a member that may be lost
 * meanwhile, because it could then neither be completed nor undone: the
 * voters left after a removal need an active majority, and after a promotion
 * they need one without the promoted learner. From one voter to two there is
 * no choice.
 */
static bool
removal_safe(const struct raft *r, uint64_t id, int64_t now)
{
    size_t voters = configuration_voters(members_current(&r->members)) - 1;

    return active_without(r, id, now) >= voters / 2 + 1;
}

static bool
promotion_safe(const struct raft *r, uint64_t id, int64_t now)
{
    size_t voters = configuration_voters(members_current(&r->members)) + 1;

    return voters == 2 || active_without(r, id, now) >= voters / 2 + 1;
}

static enum raft_error
promote(struct raft *r, int64_t now, uint64_t id, uint64_t *index)
{
    const struct configuration *c = members_current(&r->members);
    const struct raft_member *m = configuration_find(c, id);
    struct raft_member items[MEMBERS_MAX];

    if (m == NULL || m->voter) {
        return RAFT_ERR_INVALID;
    }
    if (!caught_up(r, id, now) || !promotion_safe(r, id, now)) {
        return RAFT_ERR_NOT_READY;
    }
    memcpy(items, c->items, c->count * sizeof(*items));
    items[m - c->items].voter = true;
    return change_append(r, items, c->count, index);
}

static enum raft_error
remove_member(struct raft *r, int64_t now, uint64_t id, uint64_t *index)
{
    const struct configuration *c = members_current(&r->members);
    struct raft_member items[MEMBERS_MAX];
    size_t n;

    if (configuration_find(c, id) == NULL ||
        (configuration_votes(c, id) && configuration_voters(c) == 1)) {
        return RAFT_ERR_INVALID;
    }
    if (configuration_votes(c, id) && !removal_safe(r, id, now)) {
        return RAFT_ERR_NOT_READY;
    }
    n = copy_without(r, id, str_from(NULL, 0), items);
    return change_append(r, items, n, index);
}

enum raft_error
raft_propose_config(struct raft *r, int64_t now, enum raft_change change,
                    const struct raft_member *member, uint64_t *index)
{
    enum raft_error error = change_allowed(r);

    if (error != RAFT_OK) {
        return error;
    }
    switch (change) {
    case RAFT_ADD_LEARNER:
        return add_learner(r, member, index);
    case RAFT_PROMOTE:
        return promote(r, now, member->id, index);
    case RAFT_REMOVE:
        return remove_member(r, now, member->id, index);
    }
    return RAFT_ERR_INVALID;
}

/* The voter that a learner of the same VM replaces. */
static const struct raft_member *
replaced_by(const struct configuration *c, const struct raft_member *learner)
{
    for (size_t i = 0; i < c->count; i++) {
        const struct raft_member *m = &c->items[i];

        if (m->voter && learner->vm.len != 0 && str_eq(m->vm, learner->vm)) {
            return m;
        }
    }
    return NULL;
}

void
change_tick(struct raft *r, int64_t now)
{
    const struct configuration *c = members_current(&r->members);

    if (configuration_voters(c) == c->count || change_allowed(r) != RAFT_OK) {
        return;
    }
    for (size_t i = 0; i < c->count; i++) {
        const struct raft_member *learner = &c->items[i];
        const struct raft_member *old;

        if (learner->voter || !caught_up(r, learner->id, now)) {
            continue;
        }
        old = replaced_by(c, learner);
        if (old == NULL
                ? promote(r, now, learner->id, NULL) == RAFT_OK
                : old->id != r->cfg.id &&
                      remove_member(r, now, old->id, NULL) == RAFT_OK) {
            return;
        }
    }
}
