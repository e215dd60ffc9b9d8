#include <string.h>

#include "internal.h"

/* Configuration changes, one member at a time (thesis, section 4.1). */

enum raft_error
append_configuration(struct raft *r, const struct raft_member *items,
                     size_t count, uint64_t *index)
{
    struct str bytes = configuration_encode(items, count);
    uint64_t at = log_append(r, RAFT_ENTRY_CONFIG, bytes);

    config_history_append(&r->configs, at, bytes);
    str_free(&bytes);
    peers_update(r);
    r->status_dirty = true;
    if (index != NULL) {
        *index = at;
    }
    return RAFT_OK;
}

/*
 * Returns whether a configuration change may be proposed now. Changing one
 * member at a time is safe only if the previous configuration is committed and
 * the leader has committed an entry of its own term. Without the latter, two
 * leaders could change the same configuration in different ways (Ongaro,
 * raft-dev, 2015).
 */
static enum raft_error
check_change_allowed(const struct raft *r)
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
        config_history_newest(&r->configs)->index > r->commit) {
        return RAFT_ERR_BUSY;
    }
    return RAFT_OK;
}

/*
 * Whether a learner has caught up with the leader. match counts only entries
 * that the learner has synced, not all that it has received.
 */
static bool
is_caught_up(const struct raft *r, uint64_t id, int64_t now)
{
    const struct peer *p = peer_find(r, id);

    return p != NULL && peer_is_active(r, p, now) &&
           p->match + r->cfg.catch_up_entries >= entries_last(&r->log) &&
           p->match >= r->term_start;
}

/*
 * Copies the current members to out, except the member with this id and the
 * learners of vm if vm is not empty. Returns the number of members copied.
 */
static size_t
copy_members_except(const struct raft *r, uint64_t id, struct str vm,
                    struct raft_member *out)
{
    const struct configuration *c = config_history_newest(&r->configs);
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
    size_t n = copy_members_except(r, member->id, member->vm, items);

    if (member->id == 0 || n >= MEMBERS_MAX ||
        configuration_find(config_history_newest(&r->configs), member->id)) {
        return RAFT_ERR_INVALID;
    }
    items[n] = *member;
    items[n].voter = false;
    return append_configuration(r, items, n + 1, index);
}

/*
 * Counts the voters other than id that answered within the election timeout.
 */
static size_t
count_active_voters_except(const struct raft *r, uint64_t id, int64_t now)
{
    const struct configuration *c = config_history_newest(&r->configs);
    size_t active = 0;

    for (size_t i = 0; i < r->peer_count; i++) {
        const struct peer *p = &r->peers[i];

        if (p->id != id && configuration_is_voter(c, p->id)) {
            active += peer_is_active(r, p, now);
        }
    }
    return active;
}

/*
 * A change must not make the quorum depend on a member that may fail before
 * the change is committed, because the change could then be neither completed
 * nor undone. After a removal, the remaining voters must have an active
 * majority. After a promotion, they must have one without the promoted
 * learner, except from one voter to two, where this is impossible.
 */
static bool
is_removal_safe(const struct raft *r, uint64_t id, int64_t now)
{
    size_t voters =
        configuration_count_voters(config_history_newest(&r->configs)) - 1;

    return count_active_voters_except(r, id, now) >= voters / 2 + 1;
}

static bool
is_promotion_safe(const struct raft *r, uint64_t id, int64_t now)
{
    size_t voters =
        configuration_count_voters(config_history_newest(&r->configs)) + 1;

    return voters == 2 ||
           count_active_voters_except(r, id, now) >= voters / 2 + 1;
}

static enum raft_error
promote_learner(struct raft *r, int64_t now, uint64_t id, uint64_t *index)
{
    const struct configuration *c = config_history_newest(&r->configs);
    const struct raft_member *m = configuration_find(c, id);
    struct raft_member items[MEMBERS_MAX];

    if (m == NULL || m->voter) {
        return RAFT_ERR_INVALID;
    }
    if (!is_caught_up(r, id, now) || !is_promotion_safe(r, id, now)) {
        return RAFT_ERR_NOT_READY;
    }
    memcpy(items, c->items, c->count * sizeof(*items));
    items[m - c->items].voter = true;
    return append_configuration(r, items, c->count, index);
}

static enum raft_error
remove_member(struct raft *r, int64_t now, uint64_t id, uint64_t *index)
{
    const struct configuration *c = config_history_newest(&r->configs);
    struct raft_member items[MEMBERS_MAX];
    size_t n;

    if (configuration_find(c, id) == NULL ||
        (configuration_is_voter(c, id) &&
         configuration_count_voters(c) == 1)) {
        return RAFT_ERR_INVALID;
    }
    if (configuration_is_voter(c, id) && !is_removal_safe(r, id, now)) {
        return RAFT_ERR_NOT_READY;
    }
    n = copy_members_except(r, id, str_from(NULL, 0), items);
    return append_configuration(r, items, n, index);
}

enum raft_error
raft_propose_config(struct raft *r, int64_t now, enum raft_change change,
                    const struct raft_member *member, uint64_t *index)
{
    enum raft_error error = check_change_allowed(r);

    if (error != RAFT_OK) {
        return error;
    }
    switch (change) {
    case RAFT_ADD_LEARNER:
        return add_learner(r, member, index);
    case RAFT_PROMOTE:
        return promote_learner(r, now, member->id, index);
    case RAFT_REMOVE:
        return remove_member(r, now, member->id, index);
    }
    return RAFT_ERR_INVALID;
}

/* Returns the voter that a learner of the same VM replaces, or NULL. */
static const struct raft_member *
find_replaced_voter(const struct configuration *c,
                    const struct raft_member *learner)
{
    for (size_t i = 0; i < c->count; i++) {
        const struct raft_member *m = &c->items[i];

        if (m->voter && learner->vm.len != 0 && str_eq(m->vm, learner->vm)) {
            return m;
        }
    }
    return NULL;
}

bool
is_promotion_blocked(const struct raft *r, uint64_t id, int64_t now)
{
    const struct configuration *c = config_history_newest(&r->configs);
    const struct raft_member *m = configuration_find(c, id);

    return m != NULL && !m->voter && find_replaced_voter(c, m) == NULL &&
           is_caught_up(r, id, now) && !is_promotion_safe(r, id, now);
}

void
config_change_tick(struct raft *r, int64_t now)
{
    const struct configuration *c = config_history_newest(&r->configs);

    if (configuration_count_voters(c) == c->count ||
        check_change_allowed(r) != RAFT_OK) {
        return;
    }
    for (size_t i = 0; i < c->count; i++) {
        const struct raft_member *learner = &c->items[i];
        const struct raft_member *old;

        if (learner->voter || !is_caught_up(r, learner->id, now)) {
            continue;
        }
        old = find_replaced_voter(c, learner);
        if (old == NULL
                ? promote_learner(r, now, learner->id, NULL) == RAFT_OK
                : old->id != r->cfg.id &&
                      remove_member(r, now, old->id, NULL) == RAFT_OK) {
            return;
        }
    }
}
