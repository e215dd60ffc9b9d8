#include <glib.h>
#include <string.h>

#include "flow.h"
#include "internal.h"
#include "odd_entries.h"

static Flow__Config *
decode_valid_config(const char *text)
{
    Flow__Config *c = decode_config_body(str_of(text));
    const char *problem = c == NULL ? "unreadable" : flow_validate_config(c);

    if (problem != NULL && c != NULL) {
        flow__config__free_unpacked(c, NULL);
        c = NULL;
    }
    return c;
}

#define ROUTE(NAME, PREFIX, MORE)                                             \
    "{\"name\":\"" NAME "\",\"host\":\"h\",\"pathPrefix\":\"" PREFIX          \
    "\",\"service\":\"s\",\"timeoutMs\":3000,\"stretch\":1.5" MORE "}"
#define CONFIG(ROUTES, TENANTS)                                               \
    "{\"version\":7,\"routes\":[" ROUTES                                      \
    "],\"services\":[{\"name\":\"s\",\"admissionCheck\":true}],"              \
    "\"limits\":{},\"tenants\":[" TENANTS "]}"
#define TENANT(NAME, KEY)                                                     \
    "{\"name\":\"" NAME "\",\"apiKeys\":[\"" KEY "\"],\"weight\":4,"          \
    "\"upperLimit\":{\"cpu\":5,\"memoryRequestMb\":6,\"gpu\":0}}"

/* Guards against configuration fields that are decoded wrongly. */
static void
test_config_fields(void)
{
    Flow__Config *c = decode_valid_config(
        CONFIG(ROUTE("r", "/p/",
                     ",\"priority\":2,\"maxAttempts\":3,\"advice\":"
                     "{\"decisionMs\":46.2,\"perWorkerMs\":0.66,"
                     "\"validityMs\":1500}"),
               TENANT("t", "k")));

    g_assert_nonnull(c);
    g_assert_cmpuint(c->version, ==, 7);
    g_assert_cmpuint(c->queues[0]->priority, ==, 2);
    g_assert_true(c->queues[0]->needs_approval);
    g_assert_cmpuint(c->queues[0]->approval_ms, ==, 47);
    g_assert_cmpuint(c->queues[0]->approval_worker_us, ==, 660);
    g_assert_cmpuint(c->queues[0]->ticket_ms, ==, 1500);
    g_assert_true(c->services[0]->guards_capacity);
    g_assert_cmpuint(c->teams[0]->limit->cpu_milli, ==, 5);
    g_assert_cmpuint(c->teams[0]->limit->memory_mib, ==, 6);
    flow__config__free_unpacked(c, NULL);
}

/* Guards against a configuration that is acknowledged although it is invalid
 * and cannot take effect. */
static void
test_config_refused(void)
{
    static const char *const bad[] = {
        "",
        "[]",
        "{\"version\":1,\"routes\":[",
        "{\"version\":1}",
        "{\"version\":\"1\",\"routes\":[],\"services\":[]}",
        CONFIG(ROUTE("a", "/p/", "") "," ROUTE("b", "/p/", ""),
               TENANT("t", "k")),
        CONFIG(ROUTE("a", "/p/", ",\"service\":\"other\""), TENANT("t", "k")),
        "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
        "\"pathPrefix\":\"/p/\",\"service\":\"other\",\"timeoutMs\":1}],"
        "\"services\":[{\"name\":\"s\"}]}",
        "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
        "\"pathPrefix\":\"/p/\",\"service\":\"s\",\"timeoutMs\":0}],"
        "\"services\":[{\"name\":\"s\"}]}",
        CONFIG(ROUTE("a", "/p/", ""), TENANT("t", "k") "," TENANT("u", "k")),
        CONFIG(ROUTE("a", "/p/", ""), "{\"name\":\"t\",\"apiKeys\":[]}"),
        CONFIG(ROUTE("a", "/p/", ",\"advice\":{\"decisionMs\":1e300}"),
               TENANT("t", "k")),
        CONFIG(ROUTE("a", "/p/", ",\"advice\":{\"perWorkerMs\":1e300}"),
               TENANT("t", "k")),
        CONFIG(ROUTE("a", "/p/", ",\"advice\":{\"decisionMs\":-1}"),
               TENANT("t", "k")),
        CONFIG(ROUTE("a", "/p/", ",\"priority\":1e300"), TENANT("t", "k")),
        CONFIG(ROUTE("a", "/p/", ""), "{\"name\":\"t\",\"weight\":1e300}"),
        CONFIG(ROUTE("a", "/p/", ""), "{\"name\":\"t\",\"weight\":-1}"),
    };

    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        g_assert_null(decode_valid_config(bad[i]));
    }
}

#define NOW_MS INT64_C(1700000000000)
#define HEARTBEAT(MORE)                                                       \
    "{\"service\":\"s\",\"zone\":\"z\",\"address\":\"10.0.0.1:80\","          \
    "\"capacity\":"                                                           \
    "{\"cpu\":16000,\"memoryRequestMb\":32768,\"gpu\":0},\"born\":12,"        \
    "\"labels\":[\"a\",\"r1-3\"],\"clockMs\":99,\"sequence\":4" MORE "}"

/* Guards against an announcement that is accepted although it describes no
 * usable worker, as when it comes from another kind of client. */
static void
test_heartbeats(void)
{
    static const char *const bad[] = {
        "",
        "{",
        "[1]",
        HEARTBEAT(""),
        HEARTBEAT(",\"state\":\"gone\""),
        HEARTBEAT(",\"state\":3"),
        "{\"state\":\"ready\",\"service\":1,\"address\":\"10.0.0.1:80\"}",
        "{\"state\":\"ready\"}"};
    Node__WorkerBeat *b = decode_heartbeat(
        STR("i-1"), STR(HEARTBEAT(",\"state\":\"draining\"")), NOW_MS);

    g_assert_nonnull(b);
    g_assert_cmpstr(b->worker->id, ==, "i-1");
    g_assert_true(b->worker->draining);
    g_assert_cmpstr(b->worker->rack, ==, "r1-3");
    g_assert_cmpint(b->worker->born_ms, ==, 12);
    g_assert_cmpint(b->clock_ms, ==, 99);
    node__worker_beat__free_unpacked(b, NULL);
    b = decode_heartbeat(
        STR("i-1"),
        STR("{\"service\":\"s\",\"zone\":\"z\",\"address\":\"10.0.0.1:80\","
            "\"capacity\":{\"cpu\":1},\"state\":\"ready\"}"),
        NOW_MS);
    g_assert_nonnull(b);
    g_assert_cmpint(b->worker->born_ms, ==, 0);
    node__worker_beat__free_unpacked(b, NULL);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        g_assert_null(decode_heartbeat(STR("i-1"), str_of(bad[i]), NOW_MS));
    }
}

/* Guards against an id that a path or a header gives another spelling. */
static void
test_odd_ids(void)
{
    char *body = odd_entry_body(NULL, "[fe80::1]:65535", NOW_MS);
    char *long_id = g_strnfill(257, 'i');
    const char *const bad[] = {"", "a/b", "a%2fb", "a?b", "a b", long_id};
    Node__WorkerBeat *b =
        decode_heartbeat(str_from(long_id, 256), str_of(body), NOW_MS);

    g_assert_nonnull(b);
    node__worker_beat__free_unpacked(b, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_null(decode_heartbeat(str_of(bad[i]), str_of(body), NOW_MS));
    }
    g_free(long_id);
    g_free(body);
}

/* Guards against a worker that is refused for a time that says nothing, and
 * against one that is not known to be cold. */
static void
test_cold_time(void)
{
    static const struct odd_entry entry = {
        .name = "cold", .member = "coldRemainingMs", .before = "-0.5"};
    char *body = odd_entry_body(&entry, "10.0.0.1:80", NOW_MS);
    Node__WorkerBeat *b = decode_heartbeat(STR("i-1"), str_of(body), NOW_MS);

    g_assert_nonnull(b);
    g_assert_cmpuint(b->cold_ms, ==, 0);
    node__worker_beat__free_unpacked(b, NULL);
    b = decode_heartbeat(
        STR("i-1"),
        STR(HEARTBEAT(",\"state\":\"ready\",\"coldRemainingMs\":1500.5")),
        NOW_MS);
    g_assert_cmpuint(b->cold_ms, ==, 1500);
    node__worker_beat__free_unpacked(b, NULL);
    g_free(body);
}

/* Guards against an entry of another writer that is taken for a worker. */
static void
test_odd_entries(void)
{
    size_t accepted = 0;

    for (size_t i = 0; i < odd_entry_count; i++) {
        char *body = odd_entry_body(&odd_entries[i], "10.0.0.1:80", NOW_MS);
        Node__WorkerBeat *b =
            decode_heartbeat(STR("i-1"), str_of(body), NOW_MS);

        if (b != NULL) {
            g_printerr("accepted: %s\n", odd_entries[i].name);
            node__worker_beat__free_unpacked(b, NULL);
            accepted++;
        }
        g_free(body);
    }
    g_assert_cmpuint(accepted, ==, 0);
}

/* Guards against a start call whose encoding does not follow the worker
 * protocol. */
static void
test_worker_calls(void)
{
    struct node_worker_call call = {
        .kind = NODE_CALL_START, .worker = STR("i-1"), .token = 9};
    struct node_http_request http = {0};
    json_t *root;

    call.u.start.task = (struct node_task){0xab, 1, 2, 3, 4};
    call.u.start.payload = STR("text");
    call.u.start.lease_until_ms = 77;
    call.u.start.ticket = STR("tk");
    encode_worker_call(&call, &http);
    root = parse_json_object(buf_str(&http.body));
    g_assert_cmpstr(json_string_value(json_object_get(root, "task")), ==,
                    "00000000000000ab.1.2.3");
    g_assert_cmpint(json_integer_value(json_object_get(root, "run")), ==, 4);
    g_assert_cmpint(json_integer_value(json_object_get(root, "fencingToken")),
                    ==, 9);
    g_assert_cmpint(json_integer_value(json_object_get(root, "deadlineMs")),
                    ==, 77);
    g_assert_cmpstr(json_string_value(json_object_get(root, "ticket")), ==,
                    "tk");
    g_assert_null(json_object_get(root, "checkpoint"));
    json_decref(root);
    node_http_request_free(&http);
}

static enum node_refusal
decode_refusal(int status, const char *body)
{
    struct node_worker_call call = {.kind = NODE_CALL_START};
    struct node_worker_result result = {0};
    enum node_refusal refusal;

    decode_worker_result(&call, status, str_of(body), &result);
    refusal = result.refusal;
    node_worker_result_free(&result);
    return refusal;
}

/* Guards against a refusal that is decoded as another one: only some refusals
 * mean that the run does not exist on the worker. */
static void
test_worker_results(void)
{
    struct node_worker_call call = {.kind = NODE_CALL_POLL};
    struct node_worker_result r = {0};

    g_assert_cmpint(decode_refusal(200, "{\"clockMs\":1}"), ==,
                    NODE_REFUSAL_NONE);
    g_assert_cmpint(decode_refusal(200, "<"), ==, NODE_REFUSAL_MALFORMED);
    g_assert_cmpint(decode_refusal(409, "{\"reason\":\"fence\"}"), ==,
                    NODE_REFUSAL_FENCED);
    g_assert_cmpint(decode_refusal(409, "{\"reason\":\"old\"}"), ==,
                    NODE_REFUSAL_STALE_RUN);
    g_assert_cmpint(decode_refusal(409, "{\"reason\":\"new word\"}"), ==,
                    NODE_REFUSAL_MALFORMED);
    g_assert_cmpint(decode_refusal(421, ""), ==, NODE_REFUSAL_WRONG_WORKER);
    g_assert_cmpint(decode_refusal(503, ""), ==, NODE_REFUSAL_UNHEALTHY);
    decode_worker_result(&call, 200,
                         STR("{\"clockMs\":5,\"born\":6,\"running\":[["
                             "\"00000000000000ab.0.1.2\",3,\"cp\",41]],"
                             "\"finished\":[[58,\"00000000000000ab.0.0.9\",1,"
                             "\"done\",\"\"]]}"),
                         &r);
    g_assert_cmpint(r.refusal, ==, NODE_REFUSAL_NONE);
    g_assert_cmpint(r.born_ms, ==, 6);
    g_assert_cmpuint(r.running_count, ==, 1);
    g_assert_cmpuint(r.running[0].task.index, ==, 2);
    g_assert_cmpuint(r.running[0].percent, ==, 41);
    g_assert_cmpuint(r.ended[0].number, ==, 58);
    g_assert_cmpuint(r.ended[0].how, ==, FLOW_END_DONE);
    node_worker_result_free(&r);
    decode_worker_result(&call, 200, STR("{\"running\":[[]]}"), &r);
    g_assert_cmpint(r.refusal, ==, NODE_REFUSAL_MALFORMED);
    node_worker_result_free(&r);
}

/* Returns whether exactly the entries were taken over that can be used. */
static bool
is_odd_part_left_out(const struct odd_answer *odd,
                     const struct node_worker_result *r)
{
    size_t running = odd->running_count > 0
                         ? odd->running_count - odd->running_unreadable
                         : 0;
    size_t ended =
        odd->ended_count > 0 ? odd->ended_count - odd->ended_unreadable : 0;
    size_t usable_ends = 0;

    for (size_t i = 0; i < r->ended_count; i++) {
        usable_ends += r->ended[i].how != 0;
    }
    return r->refusal == NODE_REFUSAL_NONE && r->running_count == running &&
           usable_ends == ended &&
           r->running_unreadable == odd->running_unreadable &&
           r->ended_unreadable == odd->ended_unreadable;
}

/* Guards against a response that is taken for that of another run or end, or
 * that is too long to be compared in time. */
static void
test_odd_answers(void)
{
    struct node_worker_call call = {.kind = NODE_CALL_POLL};
    size_t accepted = 0;

    for (size_t i = 0; i < odd_answer_count; i++) {
        const struct odd_answer *odd = &odd_answers[i];
        bool whole = odd->running_unreadable + odd->ended_unreadable == 0;
        char *body = odd_answer_body(odd, 6);
        struct node_worker_result r = {0};

        decode_worker_result(&call, 200, str_of(body), &r);
        if (whole ? r.refusal != NODE_REFUSAL_MALFORMED
                  : !is_odd_part_left_out(odd, &r)) {
            g_printerr(
                "accepted: %s, clock=%lld born=%lld run=%u number=%llu "
                "running=%zu unreadable=%u ended=%zu unreadable=%u\n",
                odd->name, (long long)r.clock_ms, (long long)r.born_ms,
                r.running_count > 0 ? r.running[0].task.run : 0,
                r.ended_count > 0 ? (unsigned long long)r.ended[0].number : 0,
                r.running_count, r.running_unreadable, r.ended_count,
                r.ended_unreadable);
            accepted++;
        }
        node_worker_result_free(&r);
        g_free(body);
    }
    g_assert_cmpuint(accepted, ==, 0);
}

/* Guards against lists that are of no use because of one entry in them
 * (review/11). */
static void
test_entry_beside_odd_one(void)
{
    struct node_worker_call call = {.kind = NODE_CALL_POLL};
    struct node_worker_result r = {0};

    decode_worker_result(
        &call, 200,
        STR("{\"clockMs\":5,\"running\":["
            "[\"00000000000000ab.0.1.2\",3,\"\",41],[7],"
            "[\"00000000000000ab.0.1.4\",1,\"\",42]],\"finished\":["
            "[0,\"00000000000000ab.0.0.5\",1,\"done\",\"\"],"
            "[7,\"?\",1,\"done\",\"\"],"
            "[8,\"00000000000000ab.0.0.8\",1,\"done\",\"\"],"
            "[9,\"00000000000000ab.0.0.9\",1,\"stopped\",5]]}"),
        &r);
    g_assert_cmpint(r.refusal, ==, NODE_REFUSAL_NONE);
    g_assert_cmpuint(r.running_count, ==, 2);
    g_assert_cmpuint(r.running[1].task.index, ==, 4);
    g_assert_cmpuint(r.running[1].percent, ==, 42);
    g_assert_cmpuint(r.running_unreadable, ==, 1);
    g_assert_cmpuint(r.ended_count, ==, 3);
    g_assert_cmpuint(r.ended[0].number, ==, 7);
    g_assert_cmpuint(r.ended[0].how, ==, 0);
    g_assert_cmpuint(r.ended[1].number, ==, 8);
    g_assert_cmpuint(r.ended[1].how, ==, FLOW_END_DONE);
    g_assert_cmpuint(r.ended[2].how, ==, FLOW_END_STOPPED);
    g_assert_cmpuint(r.ended_unreadable, ==, 2);
    g_assert_cmpuint(r.checkpoints_dropped, ==, 1);
    node_worker_result_free(&r);
}

/* Decodes an answer with count ends, each with a checkpoint of len bytes. */
static void
decode_checkpoints(int count, int len, struct node_worker_result *r)
{
    struct node_worker_call call = {.kind = NODE_CALL_POLL};
    char *text = g_strnfill((gsize)len, 'c');
    GString *body = g_string_new("{\"running\":[],\"finished\":[");

    for (int i = 0; i < count; i++) {
        g_string_append_printf(
            body, "%s[%d,\"00000000000000ab.0.0.%d\",1,\"stopped\",\"%s\"]",
            i > 0 ? "," : "", i + 1, i, text);
    }
    g_string_append(body, "]}");
    decode_worker_result(&call, 200, str_of(body->str), r);
    g_string_free(body, TRUE);
    g_free(text);
}

/* Guards against ends that are lost because of their checkpoints, against a
 * checkpoint that is shortened, and against answers of any size. */
static void
test_long_checkpoints(void)
{
    enum {
        KEPT_MAX = 64 << 10,
        ANSWER_MAX = 1 << 20,
        ENDS = 20,
    };
    struct node_worker_result r = {0};

    decode_checkpoints(1, KEPT_MAX, &r);
    g_assert_cmpuint(r.ended_count, ==, 1);
    g_assert_cmpuint(r.ended[0].checkpoint.len, ==, KEPT_MAX);
    g_assert_cmpuint(r.checkpoints_dropped, ==, 0);
    node_worker_result_free(&r);
    decode_checkpoints(2, KEPT_MAX + 1, &r);
    g_assert_cmpint(r.refusal, ==, NODE_REFUSAL_NONE);
    g_assert_cmpuint(r.ended_count, ==, 2);
    g_assert_cmpuint(r.ended[1].how, ==, FLOW_END_STOPPED);
    g_assert_cmpuint(r.ended[1].checkpoint.len, ==, 0);
    g_assert_cmpuint(r.checkpoints_dropped, ==, 2);
    node_worker_result_free(&r);
    decode_checkpoints(ENDS, KEPT_MAX, &r);
    g_assert_cmpuint(r.ended_count, ==, ANSWER_MAX / KEPT_MAX);
    g_assert_cmpuint(r.ended_unreadable, ==, ENDS - ANSWER_MAX / KEPT_MAX);
    node_worker_result_free(&r);
}

/* Guards against an estimate out of range that becomes another value. */
static void
test_odd_figures(void)
{
    struct node_worker_call call = {.kind = NODE_CALL_POLL};
    struct node_worker_result r = {0};

    decode_worker_result(
        &call, 200,
        STR("{\"running\":["
            "[\"00000000000000ab.0.1.2\",1,\"\",1e300,1e300],"
            "[\"00000000000000ab.0.1.3\",1,\"\",-1e300,-1e300],"
            "[\"00000000000000ab.0.1.4\",1,\"\",\"x\",\"x\"],"
            "[\"00000000000000ab.0.1.5\",1,\"\",4294967297,0.7]],"
            "\"finished\":[]}"),
        &r);
    g_assert_cmpint(r.refusal, ==, NODE_REFUSAL_NONE);
    g_assert_cmpuint(r.running_count, ==, 4);
    g_assert_cmpuint(r.running[0].percent, ==, 100);
    g_assert_cmpint(r.running[0].load, ==, UINT32_MAX);
    g_assert_cmpuint(r.running[1].percent, ==, 0);
    g_assert_cmpint(r.running[1].load, ==, 0);
    g_assert_cmpuint(r.running[2].percent, ==, 0);
    g_assert_cmpuint(r.running[3].percent, ==, 100);
    node_worker_result_free(&r);
}

static Node__Request *
decode_post(const char *body, int *status)
{
    struct front_call call = {.method = HTTP_POST,
                              .path = STR("/p/0123456789abcdef"),
                              .host = STR("h:80")};
    struct front_response response = {0};
    Node__Request *request;

    buf_append_str(&call.body, str_of(body));
    request = decode_job_call(&call, &response);
    *status = response.status;
    buf_free(&call.body);
    return request;
}

/* Guards against job specifications that are decoded wrongly or in part. */
static void
test_jobs(void)
{
    static const char *const bad[] = {
        "",
        "{}",
        "{\"steps\":[1]}",
        "{\"steps\":[{\"count\":\"2\"}]}",
        "{\"steps\":[{\"count\":1,\"after\":[-1]}]}",
        "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[4294967296]}]}",
        "{\"steps\":[{\"count\":1e300}]}",
        "{\"steps\":[{\"count\":1,\"cpu\":9223372036854775807}]}",
        "{\"steps\":[{\"count\":1,\"cpu\":-0.5}]}",
        "{\"steps\":[{\"count\":1}],\"firstRunMs\":1e300}",
        "{\"taskSpec\":4,\"steps\":[{\"count\":1}]}"};
    int status = 0;
    Node__Request *r = decode_post(
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,"
        "\"memoryRequestMb\":256,\"estimatedMs\":900,\"affinity\":"
        "\"r1\",\"antiAffinity\":2,\"gang\":true},{\"count\":1,"
        "\"after\":[0],\"checkpointing\":true,\"longRunning\":true,"
        "\"newField\":{}}]}",
        &status);

    g_assert_nonnull(r);
    g_assert_cmpstr(r->job->host, ==, "h");
    g_assert_cmpuint(r->job->spec->n_steps, ==, 2);
    g_assert_cmpuint(r->job->spec->steps[0]->per_worker_max, ==, 2);
    g_assert_true(r->job->spec->steps[0]->gang);
    g_assert_cmpstr(r->job->spec->steps[0]->data_rack, ==, "r1");
    g_assert_true(r->job->spec->steps[1]->endless);
    g_assert_true(r->job->spec->steps[1]->checkpoints);
    node__request__free_unpacked(r, NULL);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        g_assert_null(decode_post(bad[i], &status));
        g_assert_cmpint(status, ==, 400);
    }
}

/* Guards against a response of the approval service that is accepted although
 * only a part of it can be decoded. */
static void
test_approval_response(void)
{
    Node__Answer a = NODE__ANSWER__INIT;

    g_assert_true(decode_approval_response(
        200, STR("{\"approved\":[[\"i-1\",\"t1\"],[\"i-2\",\"t2\"]]}"), &a));
    g_assert_cmpuint(a.n_approved, ==, 2);
    g_assert_cmpstr(a.approved[1]->ticket, ==, "t2");
    for (size_t i = 0; i < a.n_approved; i++) {
        node__ticket__free_unpacked(a.approved[i], NULL);
    }
    free(a.approved);
    node__answer__init(&a);
    g_assert_false(decode_approval_response(429, STR(""), &a));
    g_assert_false(
        decode_approval_response(200, STR("{\"approved\":[[1]]}"), &a));
    free(a.approved);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform/config-fields", test_config_fields);
    g_test_add_func("/platform/config-refused", test_config_refused);
    g_test_add_func("/platform/beats", test_heartbeats);
    g_test_add_func("/platform/odd-entries", test_odd_entries);
    g_test_add_func("/platform/cold-time", test_cold_time);
    g_test_add_func("/platform/odd-ids", test_odd_ids);
    g_test_add_func("/platform/orders", test_worker_calls);
    g_test_add_func("/platform/results", test_worker_results);
    g_test_add_func("/platform/odd-answers", test_odd_answers);
    g_test_add_func("/platform/entry-beside-odd-one",
                    test_entry_beside_odd_one);
    g_test_add_func("/platform/long-checkpoints", test_long_checkpoints);
    g_test_add_func("/platform/odd-figures", test_odd_figures);
    g_test_add_func("/platform/jobs", test_jobs);
    g_test_add_func("/platform/advice", test_approval_response);
    return g_test_run();
}
