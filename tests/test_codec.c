#include <glib.h>
#include <string.h>

#include "caller.h"
#include "endpoint.h"
#include "operator.h"
#include "platform.h"
#include "worker.h"

typedef struct json_doc *
parse_fn(struct str, void *, struct api_error *);
typedef void
render_fn(const void *, struct buf *);

union any {
    struct caller_job job;
    struct caller_job_status status;
    struct caller_job_list jobs;
    struct caller_cancelled cancelled;
    struct endpoint endpoint;
    struct endpoint_answer endpoint_answer;
    struct worker_sync sync;
    struct worker_answer answer;
    struct operator_teams teams;
    struct operator_limits limits;
    struct operator_status cell;
    struct operator_usage usage;
};

struct codec {
    parse_fn *parse;
    render_fn *render;
    const char *text; /* in the order of rendering */
};

#define CODEC(name, text)                                                     \
    {                                                                         \
        (parse_fn *)name##_parse, (render_fn *)name##_render, text            \
    }

#define STATUS                                                                \
    "{\"id\":\"j\",\"class\":\"gang\",\"state\":\"unschedulable\","           \
    "\"reason\":\"too big\",\"urgent\":true,\"idempotent\":false,"            \
    "\"tasks\":2,\"cpu_milli\":1,\"memory_mib\":1,\"accelerators\":0,"        \
    "\"run_time_s\":0,\"queued\":2,\"running\":0,\"done\":0,\"failed\":0,"    \
    "\"cancelled\":0,\"unknown\":0,\"submitted_ms\":5,\"ended_ms\":0}"
#define RESOURCES "{\"cpu_milli\":1,\"memory_mib\":2,\"accelerators\":3}"

static const struct codec codecs[] = {
    CODEC(caller_job,
          "{\"class\":\"batch\",\"tasks\":10000,\"cpu_milli\":500,"
          "\"memory_mib\":64,\"accelerators\":0,\"urgent\":false,"
          "\"idempotent\":true,\"run_time_s\":60,\"queue\":\"open\","
          "\"payload\":\"{}\"}"),
    CODEC(caller_job_status, STATUS),
    CODEC(caller_job_list, "{\"jobs\":[" STATUS "],\"next\":\"j\"}"),
    CODEC(caller_cancelled, "{\"cancelled\":3}"),
    CODEC(endpoint, "{\"service\":\"ledger\",\"address\":\"10.0.0.1:80\","
                    "\"failure_domain\":\"d1\",\"slots\":8,"
                    "\"connections\":64,\"state\":\"leaving\"}"),
    CODEC(endpoint_answer, "{\"lease_ms\":3000}"),
    CODEC(worker_sync,
          "{\"incarnation\":1,\"seq\":2,\"rack\":\"r\","
          "\"failure_domain\":\"d\",\"capacity\":" RESOURCES
          ",\"leases\":[{\"lease\":9,\"state\":\"running\"}],"
          "\"finished\":[{\"lease\":8,\"outcome\":\"not-started\","
          "\"exit_code\":-9}],\"usage\":[{\"lease\":9,\"cpu_ms\":1,"
          "\"memory_mib_s\":2,\"accelerator_ms\":3,\"cpu_milli\":4,"
          "\"memory_mib\":5}],\"draining\":true,\"wait_ms\":1000}"),
    CODEC(worker_answer,
          "{\"start\":[{\"lease\":10,\"team\":\"t\",\"job\":\"j\",\"task\":0,"
          "\"cpu_milli\":1,\"memory_mib\":1,\"accelerators\":0,"
          "\"payload\":\"p\"}],\"stop\":[1],\"checkpoint\":[2,3],"
          "\"throttle\":[],\"finished_ack\":[4],\"lease_ms\":5000}"),
    CODEC(operator_teams,
          "{\"version\":3,\"teams\":[{\"name\":\"a\",\"weight\":2}]}"),
    CODEC(operator_limits,
          "{\"version\":3,\"limits\":[{\"team\":\"a\",\"tasks\":1,"
          "\"cpu_milli\":2,\"memory_mib\":3,\"accelerators\":4,"
          "\"requests\":5}]}"),
    CODEC(operator_accepted, "{\"version\":4,\"in_force\":true}"),
    CODEC(operator_key_request, "{\"kind\":\"team\",\"team\":\"a\"}"),
    CODEC(operator_key_created, "{\"id\":\"k1\",\"key\":\"secret\"}"),
    CODEC(operator_keys, "{\"keys\":[{\"id\":\"k1\",\"kind\":\"worker\","
                         "\"created_ms\":1}]}"),
    CODEC(operator_audit, "{\"entries\":[{\"seq\":1,\"time_ms\":2,"
                          "\"key\":\"k1\",\"action\":\"teams set\","
                          "\"version\":3,\"old_version\":2,"
                          "\"outcome\":\"applied\"}],\"next\":1}"),
    CODEC(operator_usage, "{\"month\":\"2026-12\",\"teams\":[{\"team\":\"a\","
                          "\"cpu_ms\":1,\"memory_mib_s\":2,"
                          "\"accelerator_ms\":3}]}"),
    CODEC(operator_status,
          "{\"leader\":\"v1\",\"term\":1,\"commit_index\":2,"
          "\"teams_version\":3,\"limits_version\":4,\"vms\":5,"
          "\"vms_draining\":0,\"workers\":6,\"workers_draining\":0,"
          "\"workers_quarantined\":0,\"endpoints\":7,\"jobs_queued\":8,"
          "\"jobs_running\":9,\"jobs_unschedulable\":0,\"tasks_running\":10,"
          "\"capacity\":" RESOURCES ",\"used\":" RESOURCES "}"),
    CODEC(operator_vms,
          "{\"vms\":[{\"id\":\"v1\",\"role\":\"leader\",\"address\":\"a:1\","
          "\"failure_domain\":\"d\",\"connected\":true,\"draining\":false,"
          "\"config_version\":3}]}"),
    CODEC(operator_workers,
          "{\"workers\":[{\"id\":\"w\",\"state\":\"lost\",\"rack\":\"r\","
          "\"failure_domain\":\"d\",\"capacity\":" RESOURCES
          ",\"used\":" RESOURCES ",\"tasks\":2}]}"),
    CODEC(operator_endpoints,
          "{\"endpoints\":[{\"id\":\"e\",\"service\":\"s\","
          "\"address\":\"a:1\",\"failure_domain\":\"d\",\"slots\":8,"
          "\"connections\":64,\"leased\":2,\"state\":\"ejected\"}]}"),
    CODEC(platform_probe, "{\"ok\":false,\"reason\":\"draining\"}"),
};

/* Guards against a field that is read and written under different names, and
 * against one that is not required. */
static void
test_round_trips(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(codecs); i++) {
        struct str text = str_of(codecs[i].text);
        struct api_error err;
        struct buf out = {0};
        union any any;
        struct json_doc *doc = codecs[i].parse(text, &any, &err);

        g_test_message("%s", codecs[i].text);
        g_assert_nonnull(doc);
        codecs[i].render(&any, &out);
        g_assert_cmpmem(out.ptr, out.len, text.ptr, text.len);
        json_doc_free(doc);
        buf_free(&out);
        for (size_t len = 0; len < text.len; len++) {
            g_assert_null(
                codecs[i].parse(str_from(text.ptr, len), &any, &err));
            g_assert_cmpint(err.status, ==, 400);
        }
    }
}

struct edit {
    const char *from;
    const char *to;
    const char *code;
    const char *field;
};

static void
check_edits(const struct codec *c, const struct edit *edits, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_auto(GStrv) parts = g_strsplit(c->text, edits[i].from, 2);
        g_autofree char *text = g_strjoinv(edits[i].to, parts);
        struct api_error err;
        union any any;

        g_test_message("%s", text);
        g_assert_cmpuint(g_strv_length(parts), ==, 2);
        g_assert_null(c->parse(str_of(text), &any, &err));
        g_assert_cmpint(err.status, ==, 400);
        g_assert_cmpstr(err.code, ==, edits[i].code);
        g_assert_cmpstr(err.field, ==, edits[i].field);
    }
}

static const struct codec *
codec_of(parse_fn *parse)
{
    size_t i = 0;

    while (codecs[i].parse != parse) {
        i++;
    }
    return &codecs[i];
}

#define CHECK_EDITS(name, edits)                                              \
    check_edits(codec_of((parse_fn *)name##_parse), edits, G_N_ELEMENTS(edits))

static void
test_refusals(void)
{
    static const struct edit job[] = {
        {"10000", "10001", "out_of_range", "tasks"},
        {"10000", "0", "out_of_range", "tasks"},
        {"500", "-1", "out_of_range", "cpu_milli"},
        {"500", "18446744073709551616", "out_of_range", ""},
        {"64", "9223372036854775807", "out_of_range", "memory_mib"},
        {"batch", "cron", "bad_value", "class"},
        {"\"open\"", "\"\"", "bad_value", "queue"},
        {"\"open\"", "\"a/b\"", "bad_value", "queue"},
        {"urgent", "urgently", "unknown_field", "urgently"},
        {"\"tasks\":10000,", "", "missing_field", "tasks"},
        {"{}", "\\u0000", "bad_json", ""},
    };
    static const struct edit endpoint[] = {
        {"10.0.0.1:80", "ledger.example:80", "bad_value", "address"},
        {"10.0.0.1:80", "10.0.0.1", "bad_value", "address"},
        {"10.0.0.1:80", "10.0.0.1:0", "bad_value", "address"},
        {"10.0.0.1:80", "10.0.0.1:65536", "bad_value", "address"},
        {"10.0.0.1:80", "10.0.0.1:80/x", "bad_value", "address"},
        {"10.0.0.1:80", "::1:80", "bad_value", "address"},
        {"\"slots\":8", "\"slots\":0", "out_of_range", "slots"},
    };
    static const struct edit sync[] = {
        {"{\"lease\":9,\"state\":\"running\"}",
         "{\"lease\":9,\"state\":\"running\"},{\"lease\":9,\"state\":"
         "\"running\"}",
         "duplicate", "leases[1].lease"},
        {"\"seq\":2", "\"seq\":0", "out_of_range", "seq"},
        {"\"cpu_ms\":1", "\"cpu_ms\":9223372036854775807", "out_of_range",
         "usage[0].cpu_ms"},
        {"\"wait_ms\":1000", "\"wait_ms\":60001", "out_of_range", "wait_ms"},
    };
    static const struct edit teams[] = {
        {"}]", "},{\"name\":\"a\",\"weight\":1}]", "duplicate",
         "teams[1].name"},
        {"\"weight\":2", "\"weight\":0", "out_of_range", "teams[0].weight"},
        {"\"weight\":2", "\"weight\":2.5", "wrong_type", "teams[0].weight"},
    };
    static const struct edit limits[] = {
        {"}]",
         "},{\"team\":\"a\",\"tasks\":1,\"cpu_milli\":2,"
         "\"memory_mib\":3,\"accelerators\":4,\"requests\":5}]",
         "duplicate", "limits[1].team"},
        {",\"requests\":5", "", "missing_field", "limits[0].requests"},
    };
    static const struct edit key[] = {
        {",\"team\":\"a\"", "", "missing_field", "team"},
        {"\"kind\":\"team\"", "\"kind\":\"worker\"", "bad_value", "team"},
    };

    CHECK_EDITS(caller_job, job);
    CHECK_EDITS(endpoint, endpoint);
    CHECK_EDITS(worker_sync, sync);
    CHECK_EDITS(operator_teams, teams);
    CHECK_EDITS(operator_limits, limits);
    CHECK_EDITS(operator_key_request, key);
}

static void
test_limits_of_size(void)
{
    g_autofree char *payload = g_strnfill(CALLER_PAYLOAD_MAX + 1, 'p');
    g_autofree char *name = g_strnfill(JSON_NAME_MAX + 1, 'n');
    struct api_error err;
    struct caller_job job;
    struct buf out = {0};
    struct json_doc *doc;

    for (int over = 0; over < 2; over++) {
        struct caller_job in = {
            .tasks = 1,
            .cpu_milli = 1,
            .memory_mib = 1,
            .queue = str_from(name, JSON_NAME_MAX),
            .payload = str_from(payload, CALLER_PAYLOAD_MAX + (size_t)over)};

        buf_clear(&out);
        caller_job_render(&in, &out);
        doc = caller_job_parse(buf_str(&out), &job, &err);
        g_assert_true((doc != NULL) == (over == 0));
        json_doc_free(doc);
    }
    g_assert_cmpstr(err.field, ==, "payload");
    g_assert_false(json_name_ok(str_of(name)));
    buf_free(&out);
}

static const struct api_table *const tables[] = {
    &caller_routes, &endpoint_routes, &worker_routes, &operator_routes,
    &platform_routes};

static int
find(enum http_method method, const char *path, struct api_match *m)
{
    struct api_error err;

    if (api_match(tables, G_N_ELEMENTS(tables), method, str_of(path), m,
                  &err)) {
        return 200;
    }
    return err.status;
}

static void
test_routes(void)
{
    struct api_match m;

    g_assert_cmpint(find(HTTP_PATCH, "/v1/services/s/a%2Fb/", &m), ==, 200);
    g_assert_cmpint(m.route, ==, API_SERVICE_CALL);
    g_assert_cmpint(m.key, ==, API_KEY_TEAM);
    g_assert_cmpstr(m.param, ==, "s");
    g_assert_true(str_eq(m.rest, STR("/a%2Fb/")));
    g_assert_cmpint(find(HTTP_GET, "/v1/services/s", &m), ==, 200);
    g_assert_true(str_eq(m.rest, STR("/")));
    g_assert_cmpint(find(HTTP_GET, "/v1/services/", &m), ==, 404);
    g_assert_cmpint(find(HTTP_GET, "/v1/services//x", &m), ==, 404);
    g_assert_cmpint(find(HTTP_PUT, "/v1/jobs/a%2Db", &m), ==, 200);
    g_assert_cmpstr(m.param, ==, "a-b");
    g_assert_cmpint(find(HTTP_PUT, "/v1/jobs/a%2Fb", &m), ==, 400);
    g_assert_cmpint(find(HTTP_PUT, "/v1/jobs/a%zz", &m), ==, 400);
    g_assert_cmpint(find(HTTP_PUT, "/v1/jobs/a/", &m), ==, 404);
    g_assert_cmpint(find(HTTP_POST, "/v1/jobs/a", &m), ==, 405);
    g_assert_cmpstr(m.allow, ==, "PUT, GET, DELETE");
    g_assert_cmpint(find(HTTP_DELETE, "/v1/jobs", &m), ==, 200);
    g_assert_cmpint(m.route, ==, API_JOB_CANCEL_PREFIX);
    g_assert_cmpint(find(HTTP_POST, "/v1/workers/w/sync", &m), ==, 200);
    g_assert_cmpint(m.key, ==, API_KEY_WORKER);
    g_assert_cmpint(find(HTTP_HEAD, "/v1/live", &m), ==, 200);
    g_assert_cmpint(m.key, ==, API_KEY_NONE);
    g_assert_cmpint(find(HTTP_GET, "/v1/usage/chart", &m), ==, 200);
    g_assert_cmpint(find(HTTP_GET, "/", &m), ==, 404);
    g_assert_cmpint(find(HTTP_GET, "", &m), ==, 404);
    g_assert_cmpint(find(HTTP_GET, "*", &m), ==, 404);
}

static void
test_queries(void)
{
    struct api_error err;
    struct caller_page page;
    struct operator_page entries;
    struct str prefix;
    uint32_t wait;
    char month[8];

    g_assert_true(caller_wait_parse(STR(""), &wait, &err) && wait == 0);
    g_assert_true(caller_wait_parse(STR("wait_ms=50"), &wait, &err));
    g_assert_cmpuint(wait, ==, 50);
    g_assert_false(caller_wait_parse(STR("wait_ms=60001"), &wait, &err));
    g_assert_false(caller_wait_parse(STR("wait_ms=-1"), &wait, &err));
    g_assert_false(caller_wait_parse(STR("wait=1"), &wait, &err));
    g_assert_false(caller_wait_parse(STR("wait_ms=1&wait_ms=2"), &wait, &err));
    g_assert_cmpstr(err.code, ==, "duplicate");
    g_assert_true(caller_prefix_parse(STR("prefix=a%2D"), &prefix, &err));
    g_assert_true(str_eq(prefix, STR("a-")));
    str_free(&prefix);
    g_assert_false(caller_prefix_parse(STR("prefix="), &prefix, &err));
    g_assert_false(caller_prefix_parse(STR(""), &prefix, &err));
    g_assert_false(caller_page_parse(STR("after=x&limit=0"), &page, &err));
    g_assert_true(caller_page_parse(STR("limit=5&after=x"), &page, &err));
    g_assert_cmpuint(page.limit, ==, 5);
    str_free(&page.after);
    g_assert_true(operator_page_parse(STR("after=7"), &entries, &err));
    g_assert_cmpuint(entries.after, ==, 7);
    g_assert_true(operator_month_parse(STR("month=2026-12"), month, &err));
    g_assert_cmpstr(month, ==, "2026-12");
    g_assert_false(operator_month_parse(STR("month=2026-13"), month, &err));
    g_assert_false(operator_month_parse(STR("month=2026-1"), month, &err));
    g_assert_false(operator_month_parse(STR(""), month, &err));
}

static void
test_if_match(void)
{
    struct api_error err;

    g_assert_true(operator_if_match(STR("\"12\""), 12, &err));
    g_assert_false(operator_if_match(STR("\"12\""), 13, &err));
    g_assert_false(operator_if_match(STR("12"), 12, &err));
    g_assert_false(operator_if_match(STR("*"), 12, &err));
    g_assert_false(operator_if_match(STR("\"\""), 0, &err));
    g_assert_cmpint(err.status, ==, 400);
    g_assert_false(operator_if_match(str_of(NULL), 12, &err));
    g_assert_cmpint(err.status, ==, 428);
}

/* Guards against markup from a name and against a bar without its value. */
static void
test_chart(void)
{
    struct operator_usage_team teams[] = {
        {STR("<a>&\""), 7200000, 1024 * 3600, 0},
        {STR("b"), 3600000, 0, 0},
    };
    struct operator_usage usage = {STR("2026-12"), teams, 2};
    struct buf out = {0};

    operator_usage_chart(&usage, &out);
    buf_append(&out, "", 1);
    g_assert_nonnull(strstr(out.ptr, "&lt;a&gt;&amp;&quot;</text>"));
    g_assert_nonnull(strstr(out.ptr, ">2.00</text>"));
    g_assert_nonnull(strstr(out.ptr, "width=\"220.0\""));
    g_assert_null(strstr(out.ptr, "nan"));
    buf_free(&out);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/codec/round_trips", test_round_trips);
    g_test_add_func("/codec/refusals", test_refusals);
    g_test_add_func("/codec/limits_of_size", test_limits_of_size);
    g_test_add_func("/codec/routes", test_routes);
    g_test_add_func("/codec/queries", test_queries);
    g_test_add_func("/codec/if_match", test_if_match);
    g_test_add_func("/codec/chart", test_chart);
    return g_test_run();
}
