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
messages_append(struct messages *list, const Raft__Message *m)
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
    messages_append(&r->outbox, m);
}

void
message_send_when_durable(struct raft *r, const Raft__Message *m)
{
    messages_append(&r->held, m);
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

/* Sums of an index, term or offset below this limit cannot overflow. */
#define NUMBER_MAX (UINT64_C(1) << 62)

static bool
has_valid_numbers(const Raft__Message *m)
{
    return m->term < NUMBER_MAX && m->index < NUMBER_MAX &&
           m->log_term < NUMBER_MAX && m->commit < NUMBER_MAX &&
           m->last < NUMBER_MAX && m->offset < NUMBER_MAX && m->from != 0;
}

/* The terms of entries never decrease and never exceed the leader's term. */
static bool
has_valid_entries(const Raft__Message *m)
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
    if (!has_valid_numbers(m) || !has_valid_entries(m)) {
        raft__message__free_unpacked(m, NULL);
        return NULL;
    }
    return m;
}
