#include "raft_net.h"

#include <string.h>

#include "raft.pb-c.h"

static bool
has_voter(const Raft__Members *m, ProtobufCBinaryData vm)
{
    for (size_t i = 0; i < m->n_members; i++) {
        if (m->members[i]->voter && m->members[i]->vm.len == vm.len &&
            memcmp(m->members[i]->vm.data, vm.data, vm.len) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Whether a configuration has a majority of voters whose disk is not lost,
 * apart from the one at vm. This must hold even after the promotion of a
 * learner, which the leader may be about to propose.
 */
static bool
keeps_majority_without(const struct net *n, struct str config, int vm)
{
    Raft__Members *m =
        raft__members__unpack(NULL, config.len, (const uint8_t *)config.ptr);
    size_t voters = 0;
    size_t alive = 0;
    size_t grows = 0;

    for (size_t i = 0; i < m->n_members; i++) {
        uint64_t id = m->members[i]->id;

        grows |= !m->members[i]->voter && !has_voter(m, m->members[i]->vm);

        voters += m->members[i]->voter;
        alive += m->members[i]->voter && id != n->nodes[vm].id &&
                 !g_hash_table_contains(n->lost_ids, GSIZE_TO_POINTER(id));
    }
    raft__members__free_unpacked(m, NULL);
    return alive >= (voters + grows) / 2 + 1;
}

/*
 * Checks the committed configuration and all later ones that any node has
 * written or is writing. Raft cannot survive the loss of a majority of disks.
 */
bool
net_can_lose_disk(const struct net *n, int vm)
{
    if (n->config.index == 0 ||
        !keeps_majority_without(n, n->config.members, vm)) {
        return false;
    }
    for (int i = 0; i < n->vms; i++) {
        const struct net_disk *d = &n->nodes[i].disk;
        const struct net_node *node = &n->nodes[i];

        for (guint k = 0; k < d->entries->len; k++) {
            const struct raft_entry *e =
                &g_array_index(d->entries, struct raft_entry, k);

            if (e->kind == RAFT_ENTRY_CONFIG && e->index > n->config.index &&
                !keeps_majority_without(n, e->data, vm)) {
                return false;
            }
        }
        for (GList *l = node->writes.head; l != NULL; l = l->next) {
            const GArray *list = ((struct net_write *)l->data)->entries;

            for (guint k = 0; k < list->len; k++) {
                const struct raft_entry *e =
                    &g_array_index(list, struct raft_entry, k);

                if (e->kind == RAFT_ENTRY_CONFIG &&
                    e->index > n->config.index &&
                    !keeps_majority_without(n, e->data, vm)) {
                    return false;
                }
            }
        }
    }
    return true;
}

void
net_end_faults(struct net *n)
{
    memset(n->blocked, 0, sizeof(n->blocked));
    n->drop_per_mille = 0;
    n->duplicate_per_mille = 0;
    n->max_delay_ns = 5 * NET_MS;
    for (int i = 0; i < n->vms; i++) {
        n->nodes[i].paused_until_ns = 0;
        n->nodes[i].max_sync_ns = 4 * NET_MS;
        if (n->nodes[i].restart_at_ns > n->now) {
            n->nodes[i].restart_at_ns = n->now;
        }
    }
}

void
net_propose_missing_vms(struct net *n)
{
    for (int i = 0; i < n->vms; i++) {
        struct raft *r = n->nodes[i].raft;

        for (int j = 0; r != NULL && j < n->vms; j++) {
            struct raft_member m = net_member(n, j, false);

            raft_propose_config(r, net_clock(n, i), RAFT_ADD_LEARNER, &m,
                                NULL);
        }
    }
}

bool
net_propose(struct net *n, int vm)
{
    char data[64];
    size_t len = 8 + rng_below(&n->rng, sizeof(data) - 8);

    for (size_t i = 0; i < len; i++) {
        data[i] = (char)rng_next(&n->rng);
    }
    return n->nodes[vm].raft != NULL &&
           raft_propose(n->nodes[vm].raft, net_clock(n, vm),
                        str_from(data, len), NULL) == RAFT_OK;
}
