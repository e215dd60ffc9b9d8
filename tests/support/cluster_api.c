#include "cluster_api.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "await.h"

enum {
    CALL_MS = 5000,
    BODY_BYTES = 4096,
    IN_FORCE_S = 20,
    WIDE_LIMIT = 1000000,
    METRICS_MS = 5000,
    JOBS_END_S = 15,
    /* A new leader reports unschedulable after 15 s; the rest allows for a
     * slow machine. No target is tied to it. */
    JOB_STATE_S = 30,
};

/* ---- Calls ---- */

static long
call_vm(const struct cluster *c, const struct api_call *call, int vm,
        json_t **out)
{
    const char *headers[] = {call->header, call->header2, NULL};
    struct http_answer answer;
    long status;
    char url[512];
    struct http_call http = {
        .method = call->method,
        .url = url,
        .key = call->key,
        .headers = headers,
        .timeout_ms = call->timeout_ms == 0 ? CALL_MS : call->timeout_ms};

    if (call->body != NULL) {
        http.body = str_of(call->body);
    }
    snprintf(url, sizeof(url), "http://%s%s", c->vms[vm].http, call->path);
    http_client_call(c->client, &http, &answer);
    status = answer.complete ? answer.status : 0;
    if (out != NULL) {
        *out = status == 0
                   ? NULL
                   : json_loadb(answer.body.ptr, answer.body.len, 0, NULL);
    }
    if (getenv("GV_TRACE") != NULL) {
        fprintf(stderr, "%s %s %s -> %ld %s\n", c->vms[vm].name, call->method,
                call->path, status, answer.body.ptr);
    }
    http_answer_free(&answer);
    return status;
}

long
api_call(const struct cluster *c, const struct api_call *call, json_t **out)
{
    long status = 0;

    if (call->vm >= 0) {
        return call_vm(c, call, call->vm, out);
    }
    for (int i = 0; i < c->count; i++) {
        if (c->vms[i].pid == 0 || c->vms[i].away) {
            continue;
        }
        if (out != NULL && status != 0) {
            json_decref(*out);
        }
        status = call_vm(c, call, i, out);
        if (status != 0 && status < 500) {
            return status;
        }
    }
    return status;
}

int64_t
api_number(const json_t *object, const char *path)
{
    char name[64];
    const char *dot = strchr(path, '.');

    if (dot == NULL) {
        return json_integer_value(json_object_get(object, path));
    }
    snprintf(name, sizeof(name), "%.*s", (int)(dot - path), path);
    return api_number(json_object_get(object, name), dot + 1);
}

json_t *
api_status(const struct cluster *c)
{
    const struct api_call call = {
        "GET", "/v1/status", c->operator_key, NULL, NULL, NULL, -1, 1000};
    json_t *status = NULL;

    AWAIT((json_decref(status), status = NULL,
           api_call(c, &call, &status) == 200 && status != NULL));
    return status;
}

/* ---- Keys ---- */

int64_t
api_metric(const struct cluster *c, int vm, const char *name)
{
    char url[64];
    char line[128];
    const struct http_call call = {
        .method = "GET", .url = url, .timeout_ms = METRICS_MS};
    struct http_answer answer;
    const char *found = NULL;
    int64_t value = -1;

    snprintf(url, sizeof(url), "http://%s/metrics", c->vms[vm].http);
    snprintf(line, sizeof(line), "\n%s ", name);
    http_client_call(c->client, &call, &answer);
    if (answer.complete && answer.status == 200) {
        found = strstr(answer.body.ptr, line);
    }
    if (found != NULL) {
        value = strtoll(found + strlen(line), NULL, 10);
    }
    http_answer_free(&answer);
    return value;
}

struct cluster_key
api_key_create(const struct cluster *c, const char *kind, const char *team)
{
    struct cluster_key key = {0};
    char body[128];
    const struct api_call call = {
        "POST", "/v1/keys", c->operator_key, body, NULL, NULL, -1, 0};
    json_t *answer = NULL;

    if (team == NULL) {
        snprintf(body, sizeof(body), "{\"kind\":\"%s\"}", kind);
    }
    else {
        snprintf(body, sizeof(body), "{\"kind\":\"%s\",\"team\":\"%s\"}", kind,
                 team);
    }
    AWAIT((json_decref(answer), answer = NULL,
           api_call(c, &call, &answer) == 201));
    snprintf(key.id, sizeof(key.id), "%s",
             json_string_value(json_object_get(answer, "id")));
    snprintf(key.key, sizeof(key.key), "%s",
             json_string_value(json_object_get(answer, "key")));
    json_decref(answer);
    return key;
}

static bool
withdrawn_in_force(const struct cluster *c, const struct api_call *call)
{
    json_t *answer = NULL;
    long status = api_call(c, call, &answer);
    const json_t *in_force = json_object_get(answer, "in_force");
    bool yes = status == 200 && (in_force == NULL || json_is_true(in_force));

    json_decref(answer);
    return yes;
}

void
api_key_withdraw(const struct cluster *c, const char *id, int vm)
{
    char path[64];
    const struct api_call call = {
        "DELETE", path, c->operator_key, NULL, NULL, NULL, vm, 10000};

    snprintf(path, sizeof(path), "/v1/keys/%s", id);
    AWAIT_MS(withdrawn_in_force(c, &call), 20000);
    history_write(c->history, "\"event\":\"withdrawn\",\"key\":\"%s\"", id);
}

/* ---- Lists ---- */

int64_t
api_list_version(const struct cluster *c, const char *list, int vm)
{
    char path[64];
    const struct api_call call = {
        "GET", path, c->operator_key, NULL, NULL, NULL, vm, 0};
    int64_t began = clock_now();
    int64_t version;
    json_t *answer = NULL;

    snprintf(path, sizeof(path), "/v1/lists/%s", list);
    AWAIT((json_decref(answer), answer = NULL,
           api_call(c, &call, &answer) == 200));
    version = api_number(answer, "version");
    json_decref(answer);
    history_write(c->history,
                  "\"event\":\"list\",\"list\":\"%s\",\"version\":%" PRId64
                  ",\"began\":%" PRId64,
                  list, version, began);
    return version;
}

long
api_list_put(const struct cluster *c, const char *list, int64_t version,
             const char *items, const char *idempotency, int vm)
{
    char path[64];
    char body[BODY_BYTES];
    char match[48];
    char resend[96];
    const struct api_call call = {
        "PUT", path,  c->operator_key,
        body,  match, idempotency == NULL ? NULL : resend,
        vm,    0};
    int64_t began = clock_now();
    json_t *answer = NULL;
    long status;

    version = version < 0 ? api_list_version(c, list, vm) : version;
    snprintf(path, sizeof(path), "/v1/lists/%s", list);
    snprintf(body, sizeof(body), "{\"version\":%" PRId64 ",\"%s\":%s}",
             version, list, items);
    snprintf(match, sizeof(match), "If-Match: \"%" PRId64 "\"", version);
    snprintf(resend, sizeof(resend), "Idempotency-Key: %s",
             idempotency == NULL ? "" : idempotency);
    status = api_call(c, &call, &answer);
    if (status == 200 || status == 409) {
        history_write(c->history,
                      "\"event\":\"list\",\"list\":\"%s\",\"version\":%" PRId64
                      ",\"began\":%" PRId64 ",\"resend\":%s",
                      list, api_number(answer, "version"), began,
                      idempotency != NULL ? "true" : "false");
    }
    json_decref(answer);
    return status;
}

/* For the log of a failed test: what still runs or waits. */
static void
print_state(const struct cluster *c)
{
    const char *const paths[] = {"/v1/status", "/v1/workers", "/v1/vms"};

    for (size_t i = 0; i < 3; i++) {
        const struct api_call call = {
            "GET", paths[i], c->operator_key, NULL, NULL, NULL, -1, 0};
        json_t *body = NULL;

        api_call(c, &call, &body);
        json_dumpf(body, stderr, JSON_COMPACT);
        fputc('\n', stderr);
        json_decref(body);
    }
}

static bool
list_in_force(const struct cluster *c, const char *items)
{
    char body[BODY_BYTES];
    char match[48];
    const struct api_call call = {
        "PUT", "/v1/lists/limits", c->operator_key, body, match, NULL, -1,
        10000};
    int64_t version = api_list_version(c, "limits", -1);
    json_t *answer = NULL;
    bool yes;

    snprintf(body, sizeof(body), "{\"version\":%" PRId64 ",\"limits\":%s}",
             version, items);
    snprintf(match, sizeof(match), "If-Match: \"%" PRId64 "\"", version);
    yes = api_call(c, &call, &answer) == 200 &&
          json_is_true(json_object_get(answer, "in_force"));
    json_decref(answer);
    return yes;
}

static int
or_wide(int limit)
{
    return limit == 0 ? WIDE_LIMIT : limit;
}

void
api_limit(const struct cluster *c, const struct api_limit *limit)
{
    char values[256];
    char items[640];
    int64_t until;

    snprintf(values, sizeof(values),
             "\"team\":\"lamps\",\"tasks\":%d,\"cpu_milli\":%d,"
             "\"memory_mib\":%d,\"accelerators\":%d,\"requests\":%d",
             or_wide(limit->tasks), or_wide(limit->cpu_milli),
             or_wide(limit->memory_mib), WIDE_LIMIT, or_wide(limit->requests));
    snprintf(items, sizeof(items),
             "[{%s},{\"team\":\"looms\",\"tasks\":%d,\"cpu_milli\":%d,"
             "\"memory_mib\":%d,\"accelerators\":%d,\"requests\":%d}]",
             values, WIDE_LIMIT, WIDE_LIMIT, WIDE_LIMIT, WIDE_LIMIT,
             WIDE_LIMIT);
    history_write(c->history, "\"event\":\"limit_sent\",%s", values);
    until = clock_now() + IN_FORCE_S * NS_PER_S;
    while (!list_in_force(c, items)) {
        if (clock_now() > until) {
            print_state(c);
            REQUIRE(!"the limits come into force");
        }
    }
    history_write(c->history, "\"event\":\"limit_in_force\",%s", values);
}

void
api_limit_tasks(const struct cluster *c, int tasks)
{
    const struct api_limit limit = {.tasks = tasks};

    api_limit(c, &limit);
}

/* ---- Jobs ---- */

long
api_job_put(const struct cluster *c, const struct api_job *job)
{
    char path[128];
    char body[1024];
    const struct api_call call = {"PUT", path, c->team.key, body,
                                  NULL,  NULL, -1,          0};
    long status;

    snprintf(path, sizeof(path), "/v1/jobs/%s", job->id);
    snprintf(body, sizeof(body),
             "{\"class\":\"%s\",\"tasks\":%d,\"cpu_milli\":%d,"
             "\"memory_mib\":64,\"urgent\":%s,\"idempotent\":%s,"
             "\"run_time_s\":%d,\"payload\":\"%s\"}",
             job->class == NULL ? "batch" : job->class,
             job->tasks == 0 ? 1 : job->tasks,
             job->cpu_milli == 0 ? 1000 : job->cpu_milli,
             job->urgent ? "true" : "false",
             job->idempotent ? "true" : "false",
             job->run_time_s == 0 ? 1 : job->run_time_s,
             job->payload == NULL ? "" : job->payload);
    history_write(c->history,
                  "\"event\":\"submit\",\"team\":\"lamps\",\"job\":\"%s\","
                  "\"idempotent\":%s",
                  job->id, job->idempotent ? "true" : "false");
    AWAIT((status = api_call(c, &call, NULL)) != 0 && status < 500);
    history_write(c->history,
                  "\"event\":\"submitted\",\"team\":\"lamps\",\"job\":\"%s\","
                  "\"status\":%ld",
                  job->id, status);
    return status;
}

const char *
api_job_state(const struct cluster *c, const char *id)
{
    static char state[32];
    char path[128];
    const struct api_call call = {"GET", path, c->team.key, NULL,
                                  NULL,  NULL, -1,          0};
    json_t *answer = NULL;
    const char *text = NULL;

    snprintf(path, sizeof(path), "/v1/jobs/%s", id);
    if (api_call(c, &call, &answer) == 200) {
        text = json_string_value(json_object_get(answer, "state"));
    }
    snprintf(state, sizeof(state), "%s", text == NULL ? "" : text);
    json_decref(answer);
    return state;
}

void
api_await_job(const struct cluster *c, const char *id, const char *state)
{
    int64_t until = clock_now() + JOB_STATE_S * NS_PER_S;

    while (strcmp(api_job_state(c, id), state) != 0) {
        if (clock_now() > until) {
            fprintf(stderr, "job %s is %s, not %s\n", id, api_job_state(c, id),
                    state);
            abort();
        }
        await_pause();
    }
}

static bool
jobs_ended(const struct cluster *c)
{
    json_t *status = api_status(c);
    bool yes = api_number(status, "jobs_queued") == 0 &&
               api_number(status, "jobs_running") == 0 &&
               api_number(status, "tasks_running") == 0;

    json_decref(status);
    return yes;
}

void
api_await_jobs_ended(const struct cluster *c)
{
    int64_t until = clock_now() + JOBS_END_S * NS_PER_S;

    while (!jobs_ended(c)) {
        if (clock_now() > until) {
            print_state(c);
            REQUIRE(!"all jobs end");
        }
        await_pause();
    }
}

/* ---- Usage ---- */

static json_t *
read_usage(const struct cluster *c)
{
    char path[64];
    const struct api_call call = {
        "GET", path, c->operator_key, NULL, NULL, NULL, -1, 0};
    time_t now = time(NULL);
    json_t *answer = NULL;

    strftime(path, sizeof(path), "/v1/usage?month=%Y-%m", gmtime(&now));
    AWAIT((json_decref(answer), answer = NULL,
           api_call(c, &call, &answer) == 200));
    return answer;
}

int64_t
api_cpu_used(const struct cluster *c)
{
    json_t *answer = read_usage(c);
    const json_t *team;
    int64_t sum = 0;
    size_t i;

    json_array_foreach(json_object_get(answer, "teams"), i, team)
    {
        sum += api_number(team, "cpu_ms");
    }
    json_decref(answer);
    return sum;
}

void
api_record_usage(const struct cluster *c)
{
    json_t *answer = read_usage(c);
    const json_t *team;
    size_t i;

    json_array_foreach(json_object_get(answer, "teams"), i, team)
    {
        history_write(
            c->history,
            "\"event\":\"usage\",\"team\":\"%s\",\"cpu_ms\":%" PRId64
            ",\"memory_mib_s\":%" PRId64 ",\"accelerator_ms\":%" PRId64,
            json_string_value(json_object_get(team, "team")),
            api_number(team, "cpu_ms"), api_number(team, "memory_mib_s"),
            api_number(team, "accelerator_ms"));
    }
    json_decref(answer);
}
