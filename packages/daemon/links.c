/*
 * Links to other processes, and the link between the roles of this process.
 */
#include "control_impl.h"
#include "entry.h"
#include "leader.h"
#include "log.h"
#include "mem.h"

/* A message of this process to itself, as encoded. */
struct local_frame {
    struct local_frame *next;
    struct str bytes;
};

struct link *
control_find_link(const struct control *c, struct str vm)
{
    struct peer_session *session;

    if (c->local != NULL && str_eq(vm, c->settings->vm)) {
        return c->local;
    }
    session = c->hub == NULL ? NULL : peer_find(c->hub, vm);
    return session == NULL ? NULL : peer_session_data(session);
}

struct link *
control_find_link_by_id(const struct control *c, uint64_t id)
{
    return map_get_u64(c->links, id);
}

struct link *
link_create(struct control *c, struct peer_session *session, struct str vm)
{
    struct link *l = mem_zalloc(1, sizeof(*l));

    l->id = ++c->last_link_id;
    l->control = c;
    l->session = session;
    l->vm = str_dup(vm);
    map_put_u64(c->links, l->id, l);
    return l;
}

static void
link_free(struct link *l)
{
    map_del_u64(l->control->links, l->id);
    str_free(&l->vm);
    mem_free(l);
}

void
link_send(struct link *l, const Wire__Envelope *envelope)
{
    size_t len = wire__envelope__get_packed_size(envelope);
    char *bytes = mem_alloc(len + 1);
    struct local_frame *frame;

    wire__envelope__pack(envelope, (uint8_t *)bytes);
    if (l->session != NULL) {
        if (!peer_send(l->session, str_from(bytes, len))) {
            log_write(LOG_LEVEL_WARNING,
                      "peer: a message of %zu bytes to %.*s was not sent", len,
                      STR_ARG(l->vm));
        }
        mem_free(bytes);
        return;
    }
    frame = mem_zalloc(1, sizeof(*frame));
    frame->bytes = str_from(bytes, len);
    if (l->control->local_tail == NULL) {
        l->control->local_head = frame;
    }
    else {
        l->control->local_tail->next = frame;
    }
    l->control->local_tail = frame;
}

void
links_dispatch_local(struct control *c)
{
    struct local_frame *frame = c->local_head;
    struct local_frame *next;

    c->local_head = NULL;
    c->local_tail = NULL;
    for (; frame != NULL; frame = next) {
        next = frame->next;
        dispatch_frame(c, c->local, frame->bytes);
        str_free(&frame->bytes);
        mem_free(frame);
    }
}

void
links_session_up(void *arg, struct peer_session *session,
                 const struct peer_identity *identity)
{
    struct control *c = arg;
    struct link *l = link_create(c, session, identity->vm);

    l->member_id = identity->member_id;
    l->cluster_id = identity->cluster_id;
    peer_session_set_data(session, l);
    log_write(LOG_LEVEL_INFO, "peer: session with %.*s", STR_ARG(l->vm));
    if (c->replica != NULL) {
        leader_send_hint(c->replica, l);
    }
}

void
links_session_frame(void *arg, struct peer_session *session,
                    struct str payload)
{
    dispatch_frame(arg, peer_session_data(session), payload);
}

void
links_session_down(void *arg, struct peer_session *session,
                   enum peer_down_reason reason)
{
    struct control *c = arg;
    struct link *l = peer_session_data(session);

    log_write(LOG_LEVEL_INFO, "peer: session with %.*s ended (%s)",
              STR_ARG(l->vm), peer_down_text(reason));
    entry_link_down(c->entry, l);
    link_free(l);
}

void
links_destroy(struct control *c)
{
    struct link *l;
    void *cursor = NULL;

    while (c->local_head != NULL) {
        struct local_frame *frame = c->local_head;

        c->local_head = frame->next;
        str_free(&frame->bytes);
        mem_free(frame);
    }
    while ((l = map_next(c->links, &cursor)) != NULL) {
        link_free(l);
    }
    map_destroy(c->links);
}
