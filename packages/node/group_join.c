/*
 * How a control VM becomes a member of the Raft group. At the first start the
 * seeds form the group. Every other control VM, and one that restarts without
 * its data, asks the leader to be added. So does a member that hears from no
 * leader: it may have been removed while it was cut off or paused.
 */
#include <string.h>

#include "clock.h"
#include "event.h"
#include "internal.h"

enum {
    JOIN_INTERVAL_MS = 300,
    SEEDS_MAX = 8,
};

static struct event_kind event_group = {.name = "group"};

/* Appends the peer address of the seed with that API address, host:peer_port,
 * to out. */
static void
append_peer_address(const struct node *n, struct str api_address,
                    struct buf *out)
{
    struct str rest = api_address;
    struct str host = str_cut(&rest, ':');

    buf_printf(out, "%.*s:%u", STR_ARG(host), n->settings.peer_port);
}

void
links_add_seeds(struct node *n)
{
    for (size_t i = 0; i < n->settings.seed_count; i++) {
        struct buf address = {0};

        append_peer_address(n, n->settings.seeds[i].address, &address);
        links_add_target(n, buf_str(&address));
        buf_free(&address);
    }
}

bool
group_is_member(const struct group *g)
{
    size_t count;
    const struct raft_member *members = raft_members(g->raft, &count);

    for (size_t i = 0; i < count; i++) {
        if (members[i].id == g->member_id) {
            return true;
        }
    }
    return false;
}

/* Returns the link to the process that listens at a peer address, or NULL. */
static struct link *
link_by_address(const struct node *n, struct str address)
{
    struct link *l;
    void *cursor = NULL;

    while ((l = map_next(n->links, &cursor)) != NULL) {
        if (str_eq(l->address, address)) {
            return l;
        }
    }
    return NULL;
}

/* Returns whether this VM is the seed with the lowest address. All seeds have
 * the same list, so that exactly one of them creates the group. */
static bool
is_first_seed(const struct group *g, struct str own)
{
    const struct node *n = g->node;
    bool listed = false;
    bool first = true;

    for (size_t i = 0; i < n->settings.seed_count; i++) {
        struct buf address = {0};

        append_peer_address(n, n->settings.seeds[i].address, &address);
        listed = listed || str_eq(buf_str(&address), own);
        first = first && str_cmp(own, buf_str(&address)) <= 0;
        buf_free(&address);
    }
    return listed && first;
}

/* Creates the group once all other seeds are connected and have no data. */
static void
bootstrap_group(struct group *g)
{
    struct node *n = g->node;
    struct raft_member members[SEEDS_MAX] = {0};
    struct buf addresses[SEEDS_MAX] = {0};
    size_t count = n->settings.seed_count;
    bool ready = count <= SEEDS_MAX;

    for (size_t i = 0; ready && i < count; i++) {
        struct link *l;

        append_peer_address(n, n->settings.seeds[i].address, &addresses[i]);
        members[i].voter = true;
        members[i].address = buf_str(&addresses[i]);
        if (str_eq(members[i].address, n->settings.peer_listen)) {
            members[i].id = g->member_id;
            members[i].vm = n->settings.vm;
            continue;
        }
        l = link_by_address(n, members[i].address);
        ready = l != NULL && l->member_id != 0 && l->cluster_id == 0;
        if (ready) {
            members[i].id = l->member_id;
            members[i].vm = l->vm;
        }
    }
    if (ready && raft_bootstrap(g->raft, n->now, members, count) == RAFT_OK) {
        event_write(&event_group, "outcome=created members=%zu", count);
    }
    for (size_t i = 0; i < SEEDS_MAX; i++) {
        buf_free(&addresses[i]);
    }
}

/* Sends a join request to every connected control VM. The leader adds this VM;
 * the others record its address, which bootstrap_group() needs. */
static void
send_join_requests(struct group *g)
{
    struct node *n = g->node;
    Node__Join join = NODE__JOIN__INIT;
    Node__Envelope envelope = NODE__ENVELOPE__INIT;
    struct link *l;
    void *cursor = NULL;

    join.vm = (char *)n->settings.vm.ptr;
    join.address = (char *)n->settings.peer_listen.ptr;
    join.member = g->member_id;
    envelope.msg_case = NODE__ENVELOPE__MSG_JOIN;
    envelope.join = &join;
    while ((l = map_next(n->links, &cursor)) != NULL) {
        if (l->member_id != 0) {
            link_send(l, &envelope);
        }
    }
}

void
group_handle_join(struct group *g, const struct link *from,
                  const Node__Join *join)
{
    const struct raft_member member = {
        .id = join->member, .vm = from->vm, .address = str_of(join->address)};
    size_t count;
    const struct raft_member *members = raft_members(g->raft, &count);

    str_replace(&((struct link *)from)->address, str_of(join->address));
    if (g->node->leader == NULL || from->member_id != join->member) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (members[i].id == join->member) {
            return;
        }
    }
    if (raft_propose_config(g->raft, g->node->now, RAFT_ADD_LEARNER, &member,
                            NULL) == RAFT_OK) {
        event_write(&event_group,
                    "outcome=learner-added other=%.*s "
                    "member=%016llx",
                    STR_ARG(from->vm), (unsigned long long)join->member);
    }
}

/* Returns whether this VM is a member as far as it knows. Only a member that
 * hears from a leader can be sure. */
static bool
is_member_of_working_group(const struct group *g)
{
    struct raft_status status;

    raft_status(g->raft, &status);
    return group_is_member(g) && status.leader != 0;
}

void
group_join_step(struct group *g)
{
    struct node *n = g->node;
    size_t count;

    if (n->now < g->join_due) {
        return;
    }
    g->join_due = n->now + JOIN_INTERVAL_MS * NS_PER_MS;
    if (n->leader != NULL) {
        group_remove_silent_member(g);
    }
    if (is_member_of_working_group(g) || g->failed) {
        return;
    }
    raft_members(g->raft, &count);
    if (count == 0 && n->settings.first_start && group_cluster_id(g) == 0 &&
        is_first_seed(g, n->settings.peer_listen)) {
        bootstrap_group(g);
    }
    if (!is_member_of_working_group(g)) {
        send_join_requests(g);
    }
}
