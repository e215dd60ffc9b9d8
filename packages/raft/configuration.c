#include "configuration.h"

#include <string.h>

#include "mem.h"
#include "raft.pb-c.h"

static void
configuration_free(struct configuration *c)
{
    for (size_t i = 0; i < c->count; i++) {
        str_free(&c->items[i].vm);
        str_free(&c->items[i].address);
    }
    str_free(&c->bytes);
    c->count = 0;
}

void
config_history_init(struct config_history *h)
{
    h->items = mem_zalloc(1, sizeof(*h->items));
    h->count = 1;
}

void
config_history_free(struct config_history *h)
{
    for (size_t i = 0; i < h->count; i++) {
        configuration_free(&h->items[i]);
    }
    mem_free(h->items);
    h->items = NULL;
    h->count = 0;
}

const struct configuration *
config_history_newest(const struct config_history *h)
{
    return &h->items[h->count - 1];
}

const struct configuration *
config_history_at(const struct config_history *h, uint64_t index)
{
    size_t i = h->count - 1;

    while (i > 0 && h->items[i].index > index) {
        i--;
    }
    return &h->items[i];
}

static struct str
bytes_dup(ProtobufCBinaryData data)
{
    return str_dup(str_from(data.data, data.len));
}

static bool
configuration_decode(struct configuration *c, struct str bytes)
{
    Raft__Members *msg =
        raft__members__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);
    bool ok = msg != NULL && msg->n_members <= MEMBERS_MAX;

    for (size_t i = 0; ok && i < msg->n_members; i++) {
        const Raft__Member *from = msg->members[i];

        if (from->id == 0 || configuration_find(c, from->id) != NULL) {
            ok = false;
            break;
        }
        c->items[c->count] = (struct raft_member){
            .id = from->id,
            .voter = from->voter,
            .vm = bytes_dup(from->vm),
            .address = bytes_dup(from->address),
        };
        c->count++;
    }
    if (msg != NULL) {
        raft__members__free_unpacked(msg, NULL);
    }
    if (!ok) {
        configuration_free(c);
    }
    return ok;
}

bool
config_history_append(struct config_history *h, uint64_t index,
                      struct str bytes)
{
    struct configuration c = {.index = index, .bytes = str_dup(bytes)};

    if (!configuration_decode(&c, bytes)) {
        return false;
    }
    h->items = mem_realloc(h->items, h->count + 1, sizeof(*h->items));
    h->items[h->count] = c;
    h->count++;
    return true;
}

void
config_history_truncate(struct config_history *h, uint64_t index)
{
    while (h->count > 1 && h->items[h->count - 1].index > index) {
        h->count--;
        configuration_free(&h->items[h->count]);
    }
}

void
config_history_compact(struct config_history *h, uint64_t index)
{
    size_t drop = (size_t)(config_history_at(h, index) - h->items);

    for (size_t i = 0; i < drop; i++) {
        configuration_free(&h->items[i]);
    }
    h->count -= drop;
    memmove(h->items, h->items + drop, h->count * sizeof(*h->items));
}

static void
member_to_message(const struct raft_member *m, Raft__Member *out)
{
    raft__member__init(out);
    out->id = m->id;
    out->voter = m->voter;
    out->vm.data = (uint8_t *)m->vm.ptr;
    out->vm.len = m->vm.len;
    out->address.data = (uint8_t *)m->address.ptr;
    out->address.len = m->address.len;
}

struct str
configuration_encode(const struct raft_member *items, size_t count)
{
    Raft__Members msg = RAFT__MEMBERS__INIT;
    Raft__Member space[MEMBERS_MAX];
    Raft__Member *ptrs[MEMBERS_MAX];
    size_t len;
    char *ptr;

    for (size_t i = 0; i < count; i++) {
        member_to_message(&items[i], &space[i]);
        ptrs[i] = &space[i];
    }
    msg.n_members = count;
    msg.members = ptrs;
    len = raft__members__get_packed_size(&msg);
    ptr = mem_alloc(len + 1);
    raft__members__pack(&msg, (uint8_t *)ptr);
    return str_from(ptr, len);
}

const struct raft_member *
configuration_find(const struct configuration *c, uint64_t id)
{
    for (size_t i = 0; i < c->count; i++) {
        if (c->items[i].id == id) {
            return &c->items[i];
        }
    }
    return NULL;
}

bool
configuration_is_voter(const struct configuration *c, uint64_t id)
{
    const struct raft_member *m = configuration_find(c, id);

    return m != NULL && m->voter;
}

size_t
configuration_count_voters(const struct configuration *c)
{
    size_t n = 0;

    for (size_t i = 0; i < c->count; i++) {
        n += c->items[i].voter;
    }
    return n;
}
