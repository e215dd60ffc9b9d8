#include "internal.h"
#include "mem.h"

void
message_init(const struct raft *r, Raft__Message *m, Raft__Kind kind,
             uint64_t to)
{
    raft__message__init(m);
    m->kind = kind;
    m->to = to;
    m->from = r->cfg.id;
    m->term = r->term;
}

static void
push(struct messages *list, const Raft__Message *m)
{
    size_t len = raft__message__get_packed_size(m);
    char *ptr = mem_alloc(len + 1);

    raft__message__pack(m, (uint8_t *)ptr);
    if (list->count == list->cap) {
        list->cap = list->cap == 0 ? 8 : list->cap * 2;
        list->items =
            mem_realloc(list->items, list->cap, sizeof(*list->items));
    }
    list->items[list->count] = (struct raft_message){
        .to = m->to,
        .bytes = {ptr, len},
    };
    list->count++;
}

void
message_send(struct raft *r, const Raft__Message *m)
{
    push(&r->outbox, m);
}

void
message_hold(struct raft *r, const Raft__Message *m)
{
    push(&r->held, m);
}

void
messages_move(struct messages *to, struct messages *from)
{
    if (to->count == 0) {
        struct messages empty = *to;

        *to = *from;
        *from = empty;
        return;
    }
    if (to->cap - to->count < from->count) {
        to->cap = to->count + from->count;
        to->items = mem_realloc(to->items, to->cap, sizeof(*to->items));
    }
    for (size_t i = 0; i < from->count; i++) {
        to->items[to->count] = from->items[i];
        to->count++;
    }
    from->count = 0;
}

void
messages_clear(struct messages *m)
{
    for (size_t i = 0; i < m->count; i++) {
        str_free(&m->items[i].bytes);
    }
    mem_free(m->items);
    *m = (struct messages){0};
}

/* Indices and terms below this bound cannot overflow in additions. */
#define NUMBER_MAX (UINT64_C(1) << 62)

static bool
numbers_valid(const Raft__Message *m)
{
    return m->term < NUMBER_MAX && m->index < NUMBER_MAX &&
           m->log_term < NUMBER_MAX && m->commit < NUMBER_MAX &&
           m->last < NUMBER_MAX && m->offset < NUMBER_MAX && m->from != 0;
}

/* Terms never fall along a log and never exceed the leader's. */
static bool
entries_valid(const Raft__Message *m)
{
    uint64_t term = m->log_term;

    for (size_t i = 0; i < m->n_entries; i++) {
        const Raft__Entry *e = m->entries[i];

        if (e->term < term || e->term == 0 || e->kind > RAFT_ENTRY_CONFIG) {
            return false;
        }
        term = e->term;
    }
    return m->n_entries == 0 || term <= m->term;
}

Raft__Message *
message_decode(struct str bytes)
{
    Raft__Message *m =
        raft__message__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);

    if (m == NULL) {
        return NULL;
    }
    if (!numbers_valid(m) || !entries_valid(m)) {
        raft__message__free_unpacked(m, NULL);
        return NULL;
    }
    return m;
}
