#include <glib.h>
#include <string.h>

#include "bodies.h"
#include "rng.h"

/* Guards against a field that is parsed and rendered under different names,
 * and against a truncated body that is accepted. */
static void
test_round_trips(void)
{
    for (size_t i = 0; i < body_count; i++) {
        struct str text = str_of(bodies[i].example);
        struct api_error err;
        struct buf out = {0};
        union body_struct any;
        struct json_doc *doc = bodies[i].parse(text, &any, &err);

        g_test_message("%s", bodies[i].example);
        g_assert_nonnull(doc);
        bodies[i].render(&any, &out);
        g_assert_cmpmem(out.ptr, out.len, text.ptr, text.len);
        json_doc_free(doc);
        buf_free(&out);
        for (size_t len = 0; len < text.len; len++) {
            g_assert_null(
                bodies[i].parse(str_from(text.ptr, len), &any, &err));
            g_assert_cmpint(err.status, ==, 400);
        }
    }
}

/* An edit that makes an example invalid, and the error that it must cause. */
struct edit {
    const char *from; /* its first occurrence is replaced */
    const char *to;
    const char *code;
    const char *field;
};

static void
check_edits(const struct body *c, const struct edit *edits, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_auto(GStrv) parts = g_strsplit(c->example, edits[i].from, 2);
        g_autofree char *text = g_strjoinv(edits[i].to, parts);
        struct api_error err;
        union body_struct any;

        g_test_message("%s", text);
        g_assert_cmpuint(g_strv_length(parts), ==, 2);
        g_assert_null(c->parse(str_of(text), &any, &err));
        g_assert_cmpint(err.status, ==, 400);
        g_assert_cmpstr(err.code, ==, edits[i].code);
        g_assert_cmpstr(err.field, ==, edits[i].field);
    }
}

static const struct body *
find_body(const char *name)
{
    size_t i = 0;

    while (strcmp(bodies[i].name, name) != 0) {
        i++;
    }
    return &bodies[i];
}

#define CHECK_EDITS(name, edits)                                              \
    check_edits(find_body(#name), edits, G_N_ELEMENTS(edits))

static void
test_rejected_bodies(void)
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
mutate(struct rng *rng, GString *text)
{
    static const char *const parts[] = {"\"", "{}",  "[",       "-1",   "null",
                                        ":",  "1e9", "\\u0000", "\xff", ","};
    size_t at = rng_below(rng, text->len);
    size_t len = rng_below(rng, MIN(12, text->len - at) + 1);

    switch (rng_below(rng, 4)) {
    case 0:
        text->str[at] = (char)rng_below(rng, 256);
        break;
    case 1:
        g_string_erase(text, (gssize)at, (gssize)len);
        break;
    case 2:
        g_string_insert_len(text, (gssize)rng_below(rng, text->len + 1),
                            text->str + at, (gssize)len);
        break;
    default:
        g_string_insert(text, (gssize)at,
                        parts[rng_below(rng, G_N_ELEMENTS(parts))]);
    }
}

/* Checks random edits of the examples with a fixed seed;
 * tests/fuzz/fuzz_json.c does the same with libFuzzer's inputs. */
static void
test_mutations(void)
{
    struct rng rng = {5};

    for (int i = 0; i < 20000; i++) {
        const char *seed = bodies[rng_below(&rng, body_count)].example;
        GString *text = g_string_new(seed);

        for (uint64_t n = rng_below(&rng, 6); n > 0 && text->len > 0; n--) {
            mutate(&rng, text);
        }
        bodies_check(str_from(text->str, text->len));
        g_string_free(text, TRUE);
    }
}

static void
test_size_limits(void)
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
    &probe_routes};

static int
match_status(enum http_method method, const char *path, struct api_match *m)
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

    g_assert_cmpint(match_status(HTTP_PATCH, "/v1/services/s/a%2Fb/", &m), ==,
                    200);
    g_assert_cmpint(m.route, ==, API_SERVICE_CALL);
    g_assert_cmpint(m.key, ==, API_KEY_TEAM);
    g_assert_cmpstr(m.param, ==, "s");
    g_assert_true(str_eq(m.rest, STR("/a%2Fb/")));
    g_assert_cmpint(match_status(HTTP_GET, "/v1/services/s", &m), ==, 200);
    g_assert_true(str_eq(m.rest, STR("/")));
    g_assert_cmpint(match_status(HTTP_GET, "/v1/services/", &m), ==, 404);
    g_assert_cmpint(match_status(HTTP_GET, "/v1/services//x", &m), ==, 404);
    g_assert_cmpint(match_status(HTTP_PUT, "/v1/jobs/a%2Db", &m), ==, 200);
    g_assert_cmpstr(m.param, ==, "a-b");
    g_assert_cmpint(match_status(HTTP_PUT, "/v1/jobs/a%2Fb", &m), ==, 400);
    g_assert_cmpint(match_status(HTTP_PUT, "/v1/jobs/a%zz", &m), ==, 400);
    g_assert_cmpint(match_status(HTTP_PUT, "/v1/jobs/a/", &m), ==, 404);
    g_assert_cmpint(match_status(HTTP_POST, "/v1/jobs/a", &m), ==, 405);
    g_assert_cmpstr(m.allow, ==, "PUT, GET, DELETE");
    g_assert_cmpint(match_status(HTTP_DELETE, "/v1/jobs", &m), ==, 200);
    g_assert_cmpint(m.route, ==, API_JOB_CANCEL_PREFIX);
    g_assert_cmpint(match_status(HTTP_POST, "/v1/workers/w/sync", &m), ==,
                    200);
    g_assert_cmpint(m.key, ==, API_KEY_WORKER);
    g_assert_cmpint(match_status(HTTP_HEAD, "/v1/live", &m), ==, 200);
    g_assert_cmpint(m.key, ==, API_KEY_NONE);
    g_assert_cmpint(match_status(HTTP_GET, "/v1/usage/chart", &m), ==, 200);
    g_assert_cmpint(match_status(HTTP_GET, "/", &m), ==, 404);
    g_assert_cmpint(match_status(HTTP_GET, "", &m), ==, 404);
    g_assert_cmpint(match_status(HTTP_GET, "*", &m), ==, 404);
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

/* Guards against an error in a list's file that does not name its line and
 * field, and against the rejection of a file without a version, which the
 * command line may give instead. */
static void
test_list_files(void)
{
    struct operator_limits limits;
    struct operator_teams teams;
    struct json_error err;
    struct json_doc *doc;

    g_assert_null(operator_limits_read(
        STR("{\"version\":0,\n\"limits\":[\n{\"team\":\"a\",\n"
            "\"tasks\":-1,\"cpu_milli\":1,\"memory_mib\":1,\n"
            "\"accelerators\":0,\"requests\":1}]}"),
        &limits, &err));
    g_assert_cmpint(err.line, ==, 4);
    g_assert_cmpstr(err.field, ==, "limits[0].tasks");
    doc = operator_teams_read(STR("{\"teams\":[]}"), &teams, &err);
    g_assert_nonnull(doc);
    g_assert_cmpuint(teams.version, ==, OPERATOR_NO_VERSION);
    json_doc_free(doc);
}

/* Guards against unescaped team names and against bars without a value. */
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
    g_test_add_func("/codec/refusals", test_rejected_bodies);
    g_test_add_func("/codec/mutations", test_mutations);
    g_test_add_func("/codec/limits_of_size", test_size_limits);
    g_test_add_func("/codec/routes", test_routes);
    g_test_add_func("/codec/queries", test_queries);
    g_test_add_func("/codec/if_match", test_if_match);
    g_test_add_func("/codec/list_files", test_list_files);
    g_test_add_func("/codec/chart", test_chart);
    return g_test_run();
}
