#include "state_fixture.h"

#include <string.h>

void
fixture_apply(struct fixture *f)
{
    state_apply(f->s, state_index(f->s) + 1, buf_str(&f->cmd), &f->result);
    buf_clear(&f->cmd);
}

void
fixture_set_teams(struct fixture *f, uint64_t version, const char *names)
{
    struct state_team_item items[8];
    size_t count = strlen(names);

    for (size_t i = 0; i < count; i++) {
        items[i].name = str_from(names + i, 1);
        items[i].weight = 1;
    }
    state_cmd_teams_set(&f->cmd, &f->by, version, items, count);
    fixture_apply(f);
}

uint64_t
fixture_add_key(struct fixture *f, enum state_key_kind kind, const char *team,
                uint8_t hash_byte)
{
    uint8_t hash[STATE_HASH_BYTES] = {hash_byte, 1};

    state_cmd_key_add(&f->cmd, &f->by, kind, str_of(team), hash);
    fixture_apply(f);
    return f->result.kind == STATE_APPLIED ? f->result.u.applied.number : 0;
}

void
fixture_setup(struct fixture *f, gconstpointer data)
{
    struct state_capacity capacity = {1000, 1000, 0};

    (void)data;
    memset(f, 0, sizeof(*f));
    f->s = state_create();
    f->by.wall_ms = WALL_MS;
    state_cmd_bootstrap(&f->cmd, &f->by, 5, NULL, 0, &state_settings_default);
    fixture_apply(f);
    fixture_set_teams(f, 0, "ab");
    state_cmd_worker_put(&f->cmd, &f->by, STR("w"), 1, STR("r"), STR("fd"),
                         &capacity);
    fixture_apply(f);
}

void
fixture_teardown(struct fixture *f, gconstpointer data)
{
    (void)data;
    state_destroy(f->s);
    buf_free(&f->cmd);
}

void
fixture_reload(struct fixture *f)
{
    struct buf bytes = {0};
    struct state *next;

    state_encode(f->s, &bytes);
    next = state_decode(buf_str(&bytes));
    g_assert_nonnull(next);
    state_destroy(f->s);
    f->s = next;
    buf_free(&bytes);
}

uint64_t
fixture_put_job(struct fixture *f, const char *name, bool idempotent,
                uint8_t digest)
{
    struct state_job_spec spec = {.class = STATE_JOB_BATCH,
                                  .tasks = 1,
                                  .idempotent = idempotent,
                                  .payload = STR("p")};
    uint8_t body[STATE_DIGEST_BYTES] = {digest};

    state_cmd_job_put(&f->cmd, &f->by, 1, str_of(name), &spec, body);
    fixture_apply(f);
    return f->result.kind == STATE_APPLIED ? f->result.u.applied.number : 0;
}

enum state_reason
fixture_place_task(struct fixture *f, uint64_t job, uint64_t incarnation,
                   uint64_t lease)
{
    struct state_placement item = {
        .job = job, .worker = 1, .incarnation = incarnation, .lease = lease};

    state_cmd_tasks_placed(&f->cmd, &f->by, &item, 1);
    fixture_apply(f);
    g_assert_cmpint(f->result.kind, ==, STATE_APPLIED);
    return f->result.u.applied.reject_count == 0
               ? STATE_REASON_NONE
               : f->result.u.applied.rejects[0].reason;
}

enum state_reason
fixture_end_task(struct fixture *f, uint64_t lease,
                 enum state_task_outcome outcome)
{
    struct state_task_end item = {
        .lease = lease, .outcome = outcome, .exit_code = 3};

    state_cmd_tasks_ended(&f->cmd, &f->by, &item, 1);
    fixture_apply(f);
    return f->result.u.applied.reject_count == 0
               ? STATE_REASON_NONE
               : f->result.u.applied.rejects[0].reason;
}

void
fixture_add_usage(struct fixture *f, uint64_t lease, uint64_t cpu_ms)
{
    struct state_usage_sample item = {lease, cpu_ms, 0, 0};

    state_cmd_usage(&f->cmd, &f->by, &item, 1);
    fixture_apply(f);
}

uint64_t
fixture_begin_request(struct fixture *f, const char *key)
{
    uint8_t body[STATE_DIGEST_BYTES] = {0};

    state_cmd_request_begin(&f->cmd, &f->by, 1, str_of(key), body, STR("vm"),
                            1, 1000);
    fixture_apply(f);
    return f->result.kind == STATE_APPLIED ? f->result.u.applied.number : 0;
}

void
fixture_store_response(struct fixture *f, const char *key, uint64_t number)
{
    struct state_response response = {200, STR(""), STR("123456")};

    state_cmd_request_end(&f->cmd, &f->by, 1, str_of(key), number,
                          STATE_REQUEST_FINISHED, &response);
    fixture_apply(f);
}

void
fixture_add_test(const char *path,
                 void (*test)(struct fixture *, gconstpointer))
{
    g_test_add(path, struct fixture, NULL, fixture_setup, test,
               fixture_teardown);
}
