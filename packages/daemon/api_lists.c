/* API handlers of operators' lists of teams and limits, and of keys. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "api_keys.h"
#include "leader_impl.h"
#include "mem.h"
#include "operator.h"

enum {
    KEY_BYTES = 24, /* random bytes in a key */
};

/* ---- Lists ---- */

static void
render_teams(const struct state *state, struct buf *out)
{
    struct operator_teams list = {.version = state_teams_version(state),
                                  .count = state_team_count(state)};

    list.teams = mem_zalloc(list.count + 1, sizeof(*list.teams));
    for (size_t i = 0; i < list.count; i++) {
        const struct state_team *team = state_team_at(state, i);

        list.teams[i] = (struct operator_team){team->name, team->weight};
    }
    operator_teams_render(&list, out);
    mem_free(list.teams);
}

static void
render_limits(const struct state *state, struct buf *out)
{
    struct operator_limits list = {.version = state_limits_version(state),
                                   .count = state_limit_count(state)};

    list.limits = mem_zalloc(list.count + 1, sizeof(*list.limits));
    for (size_t i = 0; i < list.count; i++) {
        const struct state_team_limit *limit = state_limit_at(state, i);
        const struct state_team *team = state_team(state, limit->team);

        list.limits[i] = (struct operator_limit){team->name,
                                                 limit->limit.tasks,
                                                 limit->limit.cpu_milli,
                                                 limit->limit.memory_mib,
                                                 limit->limit.accelerators,
                                                 limit->limit.requests};
    }
    operator_limits_render(&list, out);
    mem_free(list.limits);
}

static bool
is_teams(const struct call *call)
{
    return call->match.route == API_TEAMS_GET ||
           call->match.route == API_TEAMS_PUT;
}

static void
render_list(const struct call *call, struct buf *out)
{
    if (is_teams(call)) {
        render_teams(leader_state(call->leader), out);
    }
    else {
        render_limits(leader_state(call->leader), out);
    }
}

void
api_list_get(struct call *call)
{
    struct buf body = {0};

    render_list(call, &body);
    call_respond(call, 200, &body);
}

/* Includes teams that were removed from the list; they get limits of 0. */
static void
update_teams(struct leader *l)
{
    const struct state *state = leader_state(l);

    for (uint32_t n = 1; state_team(state, n) != NULL; n++) {
        placement_update_team(l, state_team(state, n));
    }
}

static void
list_applied(struct call *call, const struct state_result *result)
{
    const struct state *state = leader_state(call->leader);
    struct buf body = {0};

    switch (result->kind) {
    case STATE_APPLIED:
        update_teams(call->leader);
        call->list_version = result->u.applied.version;
        break;
    case STATE_DUPLICATE:
        if (result->u.duplicate.kind != STATE_APPLIED) {
            render_list(call, &body);
            call_respond(call, 409, &body);
            return;
        }
        call->list_version = result->u.duplicate.version;
        break;
    case STATE_CONFLICT:
        render_list(call, &body);
        call_respond(call, 409, &body);
        return;
    case STATE_NOT_FOUND:
    case STATE_INVALID:
        call_fail_state(call, result);
        return;
    }
    call->status = 200;
    config_wait_add(call, state_config_version(state));
}

static bool
build_teams_command(struct call *call, struct buf *command,
                    struct api_error *error)
{
    struct state_actor actor = call_actor(call);
    struct operator_teams list = {0};
    struct state_team_item *items;

    call->doc = operator_teams_parse(call->body, &list, error);
    if (call->doc == NULL ||
        !operator_if_match(call->if_match, list.version, error)) {
        return false;
    }
    items = mem_zalloc(list.count + 1, sizeof(*items));
    for (size_t i = 0; i < list.count; i++) {
        items[i] =
            (struct state_team_item){list.teams[i].name, list.teams[i].weight};
    }
    state_cmd_teams_set(command, &actor, list.version, items, list.count);
    mem_free(items);
    return true;
}

static bool
build_limits_command(struct call *call, struct buf *command,
                     struct api_error *error)
{
    struct state_actor actor = call_actor(call);
    struct operator_limits list = {0};
    struct state_limit_item *items;

    call->doc = operator_limits_parse(call->body, &list, error);
    if (call->doc == NULL ||
        !operator_if_match(call->if_match, list.version, error)) {
        return false;
    }
    items = mem_zalloc(list.count + 1, sizeof(*items));
    for (size_t i = 0; i < list.count; i++) {
        const struct operator_limit *in = &list.limits[i];

        items[i].team = in->team;
        items[i].limit =
            (struct state_limit){in->tasks, in->cpu_milli, in->memory_mib,
                                 in->accelerators, in->requests};
    }
    state_cmd_limits_set(command, &actor, list.version, items, list.count);
    mem_free(items);
    return true;
}

void
api_list_put(struct call *call)
{
    struct api_error error;
    struct buf command = {0};
    bool ok = is_teams(call) ? build_teams_command(call, &command, &error)
                             : build_limits_command(call, &command, &error);

    if (!ok) {
        call_fail_api(call, &error);
        return;
    }
    call_propose(call, &command, list_applied);
}

/* ---- Keys ---- */

static void
key_id_text(uint64_t id, char out[24])
{
    snprintf(out, 24, "k%" PRIu64, id);
}

static bool
key_id_parse(struct str text, uint64_t *id)
{
    return text.len > 1 && text.ptr[0] == 'k' &&
           str_to_u64(str_from(text.ptr + 1, text.len - 1), UINT64_MAX, id);
}

void
api_key_generate(char text[API_KEY_TEXT_BYTES], uint8_t hash[STATE_HASH_BYTES])
{
    static const char prefix[] = "gv_";
    const size_t skip = sizeof(prefix) - 1;
    unsigned char random[KEY_BYTES];

    randombytes_buf(random, sizeof(random));
    memcpy(text, prefix, skip);
    sodium_bin2base64(text + skip, API_KEY_TEXT_BYTES - skip, random,
                      sizeof(random),
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    crypto_generichash(hash, STATE_HASH_BYTES, (const unsigned char *)text,
                       strlen(text), NULL, 0);
    sodium_memzero(random, sizeof(random));
}

static void
key_added(struct call *call, const struct state_result *result)
{
    struct operator_key_created created;
    char id[24];

    /* A repeated creation cannot show the key again: only its hash is kept. */
    if (result->kind == STATE_DUPLICATE) {
        sodium_memzero(call->answer.ptr, call->answer.len);
        buf_clear(&call->answer);
        call_fail(call, 409, "already_created", "",
                  "this creation was carried out; its key cannot be shown "
                  "again: withdraw it and create another");
        return;
    }
    if (result->kind != STATE_APPLIED) {
        call_fail_state(call, result);
        return;
    }
    key_id_text(result->u.applied.number, id);
    created = (struct operator_key_created){str_of(id),
                                            str_dup(buf_str(&call->answer))};
    buf_clear(&call->answer);
    operator_key_created_render(&created, &call->answer);
    sodium_memzero((char *)created.key.ptr, created.key.len);
    str_free(&created.key);
    call->status = 201;
    config_wait_add(call, state_config_version(leader_state(call->leader)));
}

void
api_key_create(struct call *call)
{
    struct operator_key_request in = {0};
    struct state_actor actor = call_actor(call);
    char text[API_KEY_TEXT_BYTES];
    uint8_t hash[STATE_HASH_BYTES];
    struct api_error error;
    struct buf command = {0};

    call->doc = operator_key_request_parse(call->body, &in, &error);
    if (call->doc == NULL) {
        call_fail_api(call, &error);
        return;
    }
    api_key_generate(text, hash);
    buf_append_str(&call->answer, str_of(text));
    state_cmd_key_add(&command, &actor,
                      (enum state_key_kind)(in.kind + STATE_KEY_TEAM), in.team,
                      hash);
    sodium_memzero(text, sizeof(text));
    call_propose(call, &command, key_added);
}

void
api_key_list(struct call *call)
{
    const struct state *state = leader_state(call->leader);
    const struct state_key *key;
    struct operator_keys list = {0};
    struct buf body = {0};
    char(*ids)[24];
    void *cursor = NULL;
    size_t total = 0;

    while (state_key_next(state, &cursor) != NULL) {
        total++;
    }
    list.keys = mem_zalloc(total + 1, sizeof(*list.keys));
    ids = mem_zalloc(total + 1, sizeof(*ids));
    cursor = NULL;
    while ((key = state_key_next(state, &cursor)) != NULL &&
           list.count < OPERATOR_KEYS_MAX) {
        const struct state_team *team = state_team(state, key->team);
        struct operator_key *out = &list.keys[list.count];

        if (key->withdrawn_ms != 0) {
            continue;
        }
        key_id_text(key->id, ids[list.count]);
        out->id = str_of(ids[list.count]);
        out->kind = (int)key->kind - STATE_KEY_TEAM;
        out->created_ms = key->created_ms;
        if (key->kind == STATE_KEY_TEAM && team != NULL) {
            out->team = team->name;
        }
        list.count++;
    }
    operator_keys_render(&list, &body);
    mem_free(list.keys);
    mem_free(ids);
    call_respond(call, 200, &body);
}

static void
key_deleted(struct call *call, const struct state_result *result)
{
    if (result->kind != STATE_APPLIED && result->kind != STATE_DUPLICATE) {
        call_fail_state(call, result);
        return;
    }
    calls_refuse_withdrawn_key(call->leader, call->target_number, call);
    endpoints_revoke_key(call->leader, call->target_number);
    call->status = 200;
    call->list_version = state_config_version(leader_state(call->leader));
    config_wait_add(call, call->list_version);
}

void
api_key_delete(struct call *call)
{
    struct state_actor actor = call_actor(call);
    struct buf command = {0};
    uint64_t id;

    if (!key_id_parse(str_of(call->match.param), &id)) {
        call_fail(call, 404, "not_found", "id", "no such key");
        return;
    }
    call->target_number = id;
    state_cmd_key_delete(&command, &actor, id);
    call_propose(call, &command, key_deleted);
}
