#include "fake_worker.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "map.h"
#include "mem.h"
#include "str.h"

enum {
    RUN_MS = 300,
    RUN_CPU = 500,
    STOP_MS = 50,
    LEASE_MAX_MS = 4000,
    TICKET_MAX_AGE_MS = 2000,
    WORKERS_MAX = 16,
    RUNS_MAX = 4096, /* of a life */
    ENDS_PER_LIST = 500,
};

enum run_state {
    RUN_ACTIVE,
    RUN_STOPPING,
    RUN_DONE,
    RUN_STOPPED,
    RUN_LEASE_EXPIRED,
};

static const char *const run_end_names[] = {"", "", "done", "stopped",
                                            "lapsed"};

/* A run that was stopped before it came has no number. */
struct run {
    char task[80];
    json_int_t run;
    int cpu;
    enum run_state state;
    int64_t started_ms;
    int64_t ends_ms; /* when it will be done, or has stopped */
    uint64_t number; /* sequence number of its end */
    int checkpoint_bytes;
};

struct fake_worker {
    char id[32];
    int64_t born_ms;
    int64_t life_started; /* as clock_now */
    struct run *runs;     /* RUNS_MAX of them; the latest of a task is last */
    size_t run_count;
    uint64_t last_end;  /* number of the last end */
    uint64_t last_seen; /* number of the last end the leader has seen */
    json_int_t token;   /* highest fencing token of a call */
    int64_t lease_end_ms;
};

struct task_spec {
    int run_ms;
    int cpu;
    int needs_ticket;
    int checkpoint_bytes;
};

static struct fake_worker *workers[WORKERS_MAX];
static size_t worker_count;
static struct map *done_tasks; /* names of tasks that have ended "done" */
static int64_t stop_ms = STOP_MS;
static size_t resumed_count; /* starts with a checkpoint */

static void
begin_life(struct fake_worker *w)
{
    int64_t now_ms = clock_wall_ms();

    w->born_ms = now_ms > w->born_ms ? now_ms : w->born_ms + 1;
    w->life_started = clock_now();
    w->run_count = 0;
    w->last_end = 0;
    w->last_seen = 0;
    w->token = 0;
    w->lease_end_ms = 0;
}

struct fake_worker *
fake_worker_create(const char *id)
{
    struct fake_worker *w;

    if (worker_count == WORKERS_MAX) {
        return NULL;
    }
    if (done_tasks == NULL) {
        done_tasks = map_create();
    }
    w = mem_zalloc(1, sizeof(*w));
    w->runs = mem_zalloc(RUNS_MAX, sizeof(*w->runs));
    snprintf(w->id, sizeof(w->id), "%s", id);
    workers[worker_count++] = w;
    begin_life(w);
    return w;
}

/* Lets the tasks run again whose ends the leader has not seen: after a restart
 * nobody may have learned of them, and after the lease has lapsed the worker
 * may have been given up before they are. */
static void
forget_unseen_ends(const struct fake_worker *w)
{
    for (size_t i = 0; i < w->run_count; i++) {
        const struct run *r = &w->runs[i];

        if (r->state == RUN_DONE && r->number > w->last_seen) {
            map_del(done_tasks, str_of(r->task));
        }
    }
}

void
fake_worker_restart(struct fake_worker *w)
{
    forget_unseen_ends(w);
    begin_life(w);
}

const char *
fake_worker_id(const struct fake_worker *w)
{
    return w->id;
}

int64_t
fake_worker_clock(const struct fake_worker *w)
{
    return (clock_now() - w->life_started) / NS_PER_MS + 1;
}

int64_t
fake_worker_born(const struct fake_worker *w)
{
    return w->born_ms;
}

struct fake_worker *
fake_worker_find(const char *id)
{
    for (size_t i = 0; i < worker_count; i++) {
        if (strcmp(workers[i]->id, id) == 0) {
            return workers[i];
        }
    }
    return NULL;
}

struct fake_reply
fake_worker_reply(const struct fake_worker *w, int status)
{
    json_int_t clock_ms = fake_worker_clock(w);

    return (struct fake_reply){status,
                               json_pack("{s:I}", "clockMs", clock_ms)};
}

static struct fake_reply
refuse(const struct fake_worker *w, const char *reason)
{
    struct fake_reply reply = fake_worker_reply(w, 409);

    json_object_set_new(reply.body, "reason", json_string(reason));
    return reply;
}

static bool
is_running(const struct run *r)
{
    return r->state == RUN_ACTIVE || r->state == RUN_STOPPING;
}

static int
percent_done(const struct fake_worker *w, const struct run *r)
{
    int64_t worked_ms = fake_worker_clock(w) - r->started_ms;
    int64_t run_ms = r->ends_ms - r->started_ms;

    return worked_ms >= run_ms ? 100 : (int)(worked_ms * 100 / run_ms);
}

/* Returns what the run has saved, which a task that is done has no use for. */
static char *
create_checkpoint(const struct run *r)
{
    size_t len = r->state == RUN_DONE ? 0 : (size_t)r->checkpoint_bytes;
    char *text = mem_zalloc(len + 1, 1);

    memset(text, 'c', len);
    return text;
}

/* Lists the ends that are not acknowledged in their order, as far as they fit
 * into an answer. */
static void
list_ends(const struct fake_worker *w, json_t *finished)
{
    const struct run **ends = mem_zalloc(w->run_count + 1, sizeof(*ends));

    for (size_t i = 0; i < w->run_count; i++) {
        const struct run *r = &w->runs[i];

        if (r->number > w->last_seen &&
            r->number <= w->last_seen + ENDS_PER_LIST) {
            ends[r->number - w->last_seen - 1] = r;
        }
    }
    for (size_t i = 0; i < w->run_count && ends[i] != NULL; i++) {
        char *checkpoint = create_checkpoint(ends[i]);

        json_array_append_new(
            finished, json_pack("[I,s,I,s,s]", (json_int_t)ends[i]->number,
                                ends[i]->task, ends[i]->run,
                                run_end_names[ends[i]->state], checkpoint));
        mem_free(checkpoint);
    }
    mem_free(ends);
}

struct fake_reply
fake_worker_lists(const struct fake_worker *w)
{
    struct fake_reply reply = fake_worker_reply(w, 200);
    json_t *running = json_array();
    json_t *finished = json_array();

    for (size_t i = 0; i < w->run_count; i++) {
        const struct run *r = &w->runs[i];

        if (is_running(r)) {
            json_array_append_new(running,
                                  json_pack("[s,I,s,i,i]", r->task, r->run, "",
                                            percent_done(w, r), 0));
        }
    }
    list_ends(w, finished);
    json_object_set_new(reply.body, "born", json_integer(w->born_ms));
    json_object_set_new(reply.body, "running", running);
    json_object_set_new(reply.body, "finished", finished);
    return reply;
}

bool
fake_worker_has_ends(const struct fake_worker *w)
{
    return w->last_end > w->last_seen;
}

static void
end_run(struct fake_worker *w, struct run *r, enum run_state state)
{
    r->state = state;
    r->number = ++w->last_end;
    if (state == RUN_DONE && map_get(done_tasks, str_of(r->task)) == NULL) {
        map_put(done_tasks, str_dup(str_of(r->task)), w);
    }
}

void
fake_worker_step(struct fake_worker *w)
{
    int64_t now = fake_worker_clock(w);

    for (size_t i = 0; i < w->run_count; i++) {
        struct run *r = &w->runs[i];

        if (!is_running(r)) {
            continue;
        }
        if (now >= r->ends_ms) {
            end_run(w, r, r->state == RUN_ACTIVE ? RUN_DONE : RUN_STOPPED);
        }
        else if (now >= w->lease_end_ms) {
            end_run(w, r, RUN_LEASE_EXPIRED);
        }
    }
    if (now >= w->lease_end_ms) {
        forget_unseen_ends(w);
    }
}

void
fake_worker_finish(struct fake_worker *w, bool done)
{
    for (size_t i = w->run_count; i-- > 0;) {
        if (w->runs[i].state == RUN_ACTIVE) {
            end_run(w, &w->runs[i], done ? RUN_DONE : RUN_LEASE_EXPIRED);
        }
    }
}

/* Returns the task's run that came last, which has the highest number. */
static struct run *
find_latest_run(const struct fake_worker *w, const char *task)
{
    for (size_t i = w->run_count; i-- > 0;) {
        if (strcmp(w->runs[i].task, task) == 0) {
            return &w->runs[i];
        }
    }
    return NULL;
}

static struct run *
find_running(const struct fake_worker *w, const char *task)
{
    for (size_t i = 0; i < w->run_count; i++) {
        if (is_running(&w->runs[i]) && strcmp(w->runs[i].task, task) == 0) {
            return &w->runs[i];
        }
    }
    return NULL;
}

static struct run *
add_run(struct fake_worker *w, const char *task, json_int_t number)
{
    struct run *r;

    if (w->run_count == RUNS_MAX) {
        fprintf(stderr, "a worker had more than %d runs\n", RUNS_MAX);
        exit(1);
    }
    r = &w->runs[w->run_count++];
    *r = (struct run){.run = number};
    snprintf(r->task, sizeof(r->task), "%s", task);
    return r;
}

void
fake_worker_add_ends(struct fake_worker *w, int count)
{
    for (int i = 0; i < count; i++) {
        char task[32];

        snprintf(task, sizeof(task), "%016x.0.0.0", 0xe0000 + i);
        end_run(w, add_run(w, task, 1), RUN_DONE);
    }
}

void
fake_worker_add_unreadable(struct fake_worker *w, int running, int ends)
{
    for (int i = 0; i < running; i++) {
        add_run(w, "?", 1)->ends_ms = INT64_MAX;
    }
    for (int i = 0; i < ends; i++) {
        end_run(w, add_run(w, "?", 1), RUN_STOPPED);
    }
}

/* Checks the worker's identity and the fencing token. Returns whether the call
 * may be carried out; if not, *reply is the answer. */
static bool
accept_call(struct fake_worker *w, const char *expected, const json_t *call,
            struct fake_reply *reply)
{
    json_int_t token =
        json_integer_value(json_object_get(call, "fencingToken"));

    if (expected[0] != '\0' && strcmp(expected, w->id) != 0) {
        *reply = fake_worker_reply(w, 421);
        return false;
    }
    if (token < w->token) {
        *reply = refuse(w, "fence");
        return false;
    }
    w->token = token;
    return true;
}

static void
extend_lease(struct fake_worker *w, const json_t *call)
{
    json_int_t until = json_integer_value(json_object_get(call, "deadlineMs"));
    int64_t latest = fake_worker_clock(w) + LEASE_MAX_MS;

    if (until > latest) {
        until = latest;
    }
    if (until > w->lease_end_ms) {
        w->lease_end_ms = until;
    }
}

static void
read_number(const char *spec, const char *word, int *value)
{
    const char *at = strstr(spec, word);

    if (at != NULL) {
        *value = (int)strtol(at + strlen(word), NULL, 10);
    }
}

static struct task_spec
read_task_spec(const json_t *call)
{
    struct task_spec out = {RUN_MS, RUN_CPU, 1, 0};
    const char *spec = json_string_value(json_object_get(call, "taskSpec"));

    if (spec != NULL) {
        read_number(spec, "run_ms=", &out.run_ms);
        read_number(spec, "cpu=", &out.cpu);
        read_number(spec, "ticket=", &out.needs_ticket);
        read_number(spec, "checkpoint=", &out.checkpoint_bytes);
    }
    return out;
}

/* A ticket consists of a hash of the step, the worker's life and the time of
 * issue. The life is 0 for a worker of another process, and not checked. */
void
fake_worker_ticket(const char *id, const char *step, char *out, size_t size)
{
    const struct fake_worker *w = fake_worker_find(id);

    snprintf(out, size, "%" PRIx64 ".%" PRId64 ".%" PRId64,
             str_hash(str_of(step)), w == NULL ? 0 : w->born_ms,
             clock_now() / NS_PER_MS);
}

static bool
ticket_is_valid(const struct fake_worker *w, const char *task,
                const json_t *call)
{
    const char *ticket = json_string_value(json_object_get(call, "ticket"));
    const char *index = strrchr(task, '.');
    uint64_t step_hash;
    int64_t life;
    int64_t issued_ms;

    return ticket != NULL && index != NULL &&
           sscanf(ticket, "%" SCNx64 ".%" SCNd64 ".%" SCNd64, &step_hash,
                  &life, &issued_ms) == 3 &&
           step_hash == str_hash(str_from(task, (size_t)(index - task))) &&
           (life == 0 || life == w->born_ms) &&
           clock_now() / NS_PER_MS - issued_ms <= TICKET_MAX_AGE_MS;
}

static void
check_not_running(const struct fake_worker *w, const char *task,
                  json_int_t run)
{
    for (size_t i = 0; i < worker_count; i++) {
        const struct run *other = find_running(workers[i], task);

        if (other != NULL) {
            printf("TWICE %s run %d on %s: run %d runs on %s\n", task,
                   (int)run, w->id, (int)other->run, workers[i]->id);
        }
    }
    if (map_get(done_tasks, str_of(task)) != NULL) {
        printf("TWICE %s run %d on %s: is done\n", task, (int)run, w->id);
    }
    fflush(stdout);
}

static void
check_capacity(const struct fake_worker *w, const char *task, int cpu)
{
    for (size_t i = 0; i < w->run_count; i++) {
        cpu += is_running(&w->runs[i]) ? w->runs[i].cpu : 0;
    }
    if (cpu > FAKE_WORKER_CPU) {
        printf("LIMIT %s on %s: %d of %d cpu\n", task, w->id, cpu,
               FAKE_WORKER_CPU);
        fflush(stdout);
    }
}

/* Every run of a task saves a checkpoint of the same size. */
static void
check_checkpoint(const struct fake_worker *w, const char *task,
                 const json_t *call, int bytes)
{
    const json_t *checkpoint = json_object_get(call, "checkpoint");

    if (checkpoint == NULL) {
        return;
    }
    resumed_count++;
    if (json_string_length(checkpoint) != (size_t)bytes) {
        printf("UNASKED %s on %s: checkpoint of %zu bytes, %d were saved\n",
               task, w->id, json_string_length(checkpoint), bytes);
        fflush(stdout);
    }
}

struct fake_reply
fake_worker_start(struct fake_worker *w, const char *expected,
                  const json_t *call)
{
    const char *task = json_string_value(json_object_get(call, "task"));
    json_int_t number = json_integer_value(json_object_get(call, "run"));
    struct task_spec spec = read_task_spec(call);
    int64_t now = fake_worker_clock(w);
    struct fake_reply reply;
    struct run *r;

    if (task == NULL) {
        return fake_worker_reply(w, 400);
    }
    if (!accept_call(w, expected, call, &reply)) {
        return reply;
    }
    if (json_integer_value(json_object_get(call, "deadlineMs")) <= now) {
        return refuse(w, "late");
    }
    r = find_latest_run(w, task);
    if (r != NULL && number <= r->run) {
        extend_lease(w, call);
        return r->state == RUN_ACTIVE && number == r->run
                   ? fake_worker_reply(w, 200)
                   : refuse(w, "old");
    }
    if (spec.needs_ticket && !ticket_is_valid(w, task, call)) {
        return refuse(w, "ticket");
    }
    check_not_running(w, task, number);
    check_capacity(w, task, spec.cpu);
    check_checkpoint(w, task, call, spec.checkpoint_bytes);
    extend_lease(w, call);
    r = add_run(w, task, number);
    r->cpu = spec.cpu;
    r->checkpoint_bytes = spec.checkpoint_bytes;
    r->started_ms = now;
    r->ends_ms = now + spec.run_ms;
    return fake_worker_reply(w, 200);
}

struct fake_reply
fake_worker_stop(struct fake_worker *w, const char *expected,
                 const json_t *call)
{
    const char *task = json_string_value(json_object_get(call, "task"));
    json_int_t number = json_integer_value(json_object_get(call, "run"));
    struct fake_reply reply;
    struct run *r;

    if (task == NULL) {
        return fake_worker_reply(w, 400);
    }
    if (!accept_call(w, expected, call, &reply)) {
        return reply;
    }
    r = find_running(w, task);
    if (r != NULL && r->run == number && r->state == RUN_ACTIVE) {
        r->state = RUN_STOPPING;
        r->ends_ms = fake_worker_clock(w) + stop_ms;
    }
    r = find_latest_run(w, task);
    if (r == NULL || r->run < number) {
        r = add_run(w, task, number);
        r->state = RUN_STOPPED;
    }
    return fake_worker_reply(w, 200);
}

struct fake_reply
fake_worker_hold(struct fake_worker *w, const char *expected,
                 const json_t *call)
{
    json_int_t seen = json_integer_value(json_object_get(call, "lastSeen"));
    struct fake_reply reply;

    if (!accept_call(w, expected, call, &reply)) {
        return reply;
    }
    extend_lease(w, call);
    /* A call of an earlier life can't make it forget ends to come. */
    if ((uint64_t)seen > w->last_end) {
        seen = (json_int_t)w->last_end;
    }
    if ((uint64_t)seen > w->last_seen) {
        w->last_seen = (uint64_t)seen;
    }
    return (struct fake_reply){0, NULL};
}

void
fake_worker_set_stop_ms(int64_t ms)
{
    stop_ms = ms;
}

size_t
fake_worker_stopping(void)
{
    size_t n = 0;

    for (size_t i = 0; i < worker_count; i++) {
        for (size_t k = 0; k < workers[i]->run_count; k++) {
            n += workers[i]->runs[k].state == RUN_STOPPING;
        }
    }
    return n;
}

size_t
fake_worker_resumed(void)
{
    return resumed_count;
}
