/*
 * How a control VM becomes a member of the raft group: the first VM in the
 * settings creates the cluster; a VM that is started later with an empty data
 * directory asks the leader to add it.
 */
#include "clock.h"
#include "control.h"
#include "entry.h"
#include "log.h"
#include "replica_impl.h"

enum {
    JOIN_INTERVAL_MS = 500,
    BOOTSTRAP_LOG_INTERVAL_S = 5,
    BOOTSTRAP_MEMBERS_MAX = 8,
};

/* Logs which control VM the creation of the cluster waits for, so that an
 * operator can start it. */
static void
log_bootstrap_wait(struct replica *r, struct str vm, const struct link *l)
{
    if (r->bootstrap_log_due > r->control->now) {
        return;
    }
    r->bootstrap_log_due =
        r->control->now + BOOTSTRAP_LOG_INTERVAL_S * NS_PER_S;
    log_write(LOG_LEVEL_NOTICE,
              "raft: control VM %.*s %s; not creating a cluster", STR_ARG(vm),
              l == NULL ? "is not connected"
                        : (l->cluster_id != 0 ? "has data of a cluster"
                                              : "has no data directory"));
}

/* Fills in one member per control VM. Returns false if one of them is not
 * connected, has no data directory or has data of a cluster. */
static bool
collect_empty_members(struct replica *r, struct raft_member *members)
{
    const struct settings *s = r->control->settings;

    for (size_t i = 0; i < s->control_count; i++) {
        struct link *l = control_find_link(r->control, s->control[i].vm);

        members[i].voter = true;
        members[i].vm = s->control[i].vm;
        members[i].address = s->control[i].address;
        members[i].id = r->member_id;
        if (str_eq(s->control[i].vm, s->vm)) {
            continue;
        }
        if (l == NULL || l->member_id == 0 || l->cluster_id != 0) {
            log_bootstrap_wait(r, s->control[i].vm, l);
            return false;
        }
        members[i].id = l->member_id;
    }
    return true;
}

/* Creates the cluster if this is the first control VM of the settings and all
 * control VMs are connected and have no data. */
static void
try_bootstrap(struct replica *r)
{
    const struct settings *s = r->control->settings;
    struct raft_member members[BOOTSTRAP_MEMBERS_MAX] = {0};
    enum raft_error error;

    if (s->control_count == 0 || !str_eq(s->control[0].vm, s->vm) ||
        !collect_empty_members(r, members)) {
        return;
    }
    error =
        raft_bootstrap(r->raft, r->control->now, members, s->control_count);
    if (error != RAFT_OK) {
        log_write(LOG_LEVEL_ERR, "raft: cannot create a cluster (%d)",
                  (int)error);
        return;
    }
    log_write(LOG_LEVEL_NOTICE,
              "raft: creating a cluster of %zu control VM(s)",
              s->control_count);
}

bool
replica_is_member(const struct replica *r)
{
    size_t count;
    const struct raft_member *members = raft_members(r->raft, &count);

    for (size_t i = 0; i < count; i++) {
        if (members[i].id == r->member_id) {
            return true;
        }
    }
    return false;
}

static void
send_join_request(struct replica *r)
{
    const struct settings *s = r->control->settings;
    Wire__Join join = WIRE__JOIN__INIT;
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    struct link *l = entry_leader_link(r->control->entry);
    struct str vm;
    struct str address;

    if (l == NULL || l->session == NULL) {
        return;
    }
    vm = str_dup(s->vm);
    address = str_dup(s->peer_listen);
    join.vm = (char *)vm.ptr;
    join.address = (char *)address.ptr;
    join.member_id = r->member_id;
    envelope.msg_case = WIRE__ENVELOPE__MSG_JOIN;
    envelope.join = &join;
    link_send(l, &envelope);
    str_free(&vm);
    str_free(&address);
}

void
replica_become_member(struct replica *r)
{
    struct control *c = r->control;
    size_t count;

    if (c->now < r->join_due || replica_is_member(r) || r->failed) {
        return;
    }
    r->join_due = c->now + JOIN_INTERVAL_MS * NS_PER_MS;
    raft_members(r->raft, &count);
    if (count == 0 && replica_cluster_id(r) == 0) {
        try_bootstrap(r);
    }
    send_join_request(r);
}

void
replica_handle_join(struct replica *r, const struct link *from, struct str vm,
                    uint64_t member_id, struct str address)
{
    const struct raft_member member = {
        .id = member_id, .vm = vm, .address = address};
    size_t count;
    const struct raft_member *members = raft_members(r->raft, &count);

    if (from->member_id != member_id || !str_eq(from->vm, vm)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (members[i].id == member_id) {
            return;
        }
    }
    if (raft_propose_config(r->raft, r->control->now, RAFT_ADD_LEARNER,
                            &member, NULL) == RAFT_OK) {
        log_write(LOG_LEVEL_NOTICE, "raft: VM %.*s joins as a learner",
                  STR_ARG(vm));
    }
}
