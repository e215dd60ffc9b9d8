#include <glib.h>
#include <string.h>

#include "api.h"
#include "json.h"

struct item {
    struct str name;
    uint64_t number;
};

struct sample {
    uint32_t small;
    int64_t signed_one;
    double ratio;
    bool flag;
    struct str text;
    int colour;
    struct item inner;
    struct item *items;
    size_t item_count;
    uint64_t *numbers;
    size_t number_count;
};

static const char *const colours[] = {"red", "green", NULL};

static const struct json_field item_fields[] = {
    JSON_NAME_FIELD(item, name, JSON_UNIQUE),
    JSON_U64_FIELD(item, number, 0, 0, INT64_MAX),
};
static const struct json_shape item_shape = JSON_SHAPE(item, item_fields);

static const struct json_field sample_fields[] = {
    JSON_U32_FIELD(sample, small, 0, 1, 100),
    JSON_I64_FIELD(sample, signed_one, JSON_OPTIONAL, -5, 5),
    JSON_REAL_FIELD(sample, ratio, JSON_OPTIONAL, 0, 1),
    JSON_BOOL_FIELD(sample, flag, JSON_OPTIONAL),
    JSON_STRING_FIELD(sample, text, JSON_OPTIONAL, 0, 8),
    JSON_ENUM_FIELD(sample, colour, JSON_OPTIONAL, colours),
    JSON_OBJECT_FIELD(sample, inner, &item_shape),
    JSON_LIST_FIELD(sample, items, item_count, &item_shape, 3),
    JSON_NUMBERS_FIELD(sample, numbers, number_count, 1, 9, 3),
};
static const struct json_shape sample_shape =
    JSON_SHAPE(sample, sample_fields);

#define INNER "\"inner\":{\"name\":\"i\",\"number\":0}"
#define TAIL "," INNER ",\"items\":[],\"numbers\":[]}"

static void
test_round_trip(void)
{
    const char *text =
        "{\"small\":7,\"signed_one\":-5,\"ratio\":0.5,\"flag\":true,"
        "\"text\":\"\\u00e9\\n\",\"colour\":\"green\"," INNER
        ",\"items\":[{\"name\":\"a\",\"number\":9223372036854775807},"
        "{\"name\":\"b\",\"number\":1}],\"numbers\":[1,9]}";
    struct sample s = {0};
    struct json_error err;
    struct json_doc *doc = json_decode(&sample_shape, str_of(text), &s, &err);
    struct buf out = {0};

    g_assert_nonnull(doc);
    g_assert_cmpuint(s.small, ==, 7);
    g_assert_cmpint(s.signed_one, ==, -5);
    g_assert_cmpint(s.colour, ==, 1);
    g_assert_cmpuint(s.items[0].number, ==, INT64_MAX);
    g_assert_cmpuint(s.numbers[1], ==, 9);
    json_encode(&sample_shape, &s, &out);
    struct sample again = {0};
    struct json_doc *doc2 =
        json_decode(&sample_shape, buf_str(&out), &again, &err);
    g_assert_nonnull(doc2);
    g_assert_true(str_eq(s.text, again.text));
    g_assert_cmpuint(again.item_count, ==, 2);
    json_doc_free(doc);
    json_doc_free(doc2);
    buf_free(&out);
}

struct bad {
    const char *text;
    const char *field;
    enum json_fault fault;
    int line;
};

static const struct bad bads[] = {
    {"", "", JSON_FAULT_SYNTAX, 1},
    {"{", "", JSON_FAULT_SYNTAX, 1},
    {"[]", "", JSON_FAULT_WRONG_TYPE, 1},
    {"{} x", "", JSON_FAULT_SYNTAX, 1},
    {"{\"small\":1e999" TAIL, "", JSON_FAULT_OUT_OF_RANGE, 1},
    {"{\"small\":99999999999999999999" TAIL, "", JSON_FAULT_OUT_OF_RANGE, 1},
    {"{\"small\":1,\"small\":1" TAIL, "", JSON_FAULT_DUPLICATE, 1},
    {"{\"small\":\"1\"" TAIL, "small", JSON_FAULT_WRONG_TYPE, 1},
    {"{\"small\":1.0" TAIL, "small", JSON_FAULT_WRONG_TYPE, 1},
    {"{\"small\":null" TAIL, "small", JSON_FAULT_WRONG_TYPE, 1},
    {"{\n\"small\":\n-1" TAIL, "small", JSON_FAULT_OUT_OF_RANGE, 3},
    {"{\"small\":101" TAIL, "small", JSON_FAULT_OUT_OF_RANGE, 1},
    {"{\"small\":1,\n\"other\":1" TAIL, "other", JSON_FAULT_UNKNOWN_FIELD, 2},
    {"{\"flag\":true" TAIL, "small", JSON_FAULT_MISSING_FIELD, 1},
    {"{\"small\":1,\"flag\":1" TAIL, "flag", JSON_FAULT_WRONG_TYPE, 1},
    {"{\"small\":1,\"ratio\":1.5" TAIL, "ratio", JSON_FAULT_OUT_OF_RANGE, 1},
    {"{\"small\":1,\"text\":\"123456789\"" TAIL, "text",
     JSON_FAULT_OUT_OF_RANGE, 1},
    {"{\"small\":1,\"text\":\"\\u0000\"" TAIL, "", JSON_FAULT_SYNTAX, 1},
    {"{\"small\":1,\"text\":\"\xff\"" TAIL, "", JSON_FAULT_SYNTAX, 1},
    {"{\"small\":1,\"colour\":\"blue\"" TAIL, "colour", JSON_FAULT_BAD_VALUE,
     1},
    {"{\"small\":1," INNER ",\"items\":[\n{\"name\":\"a\",\"number\":1},\n"
     "{\"name\":\"a\",\"number\":2}],\"numbers\":[]}",
     "items[1].name", JSON_FAULT_DUPLICATE, 3},
    {"{\"small\":1," INNER ",\"items\":[{\"name\":\"a b\",\"number\":1}],"
     "\"numbers\":[]}",
     "items[0].name", JSON_FAULT_BAD_VALUE, 1},
    {"{\"small\":1," INNER ",\"items\":[{},{},{},{}],\"numbers\":[]}", "items",
     JSON_FAULT_OUT_OF_RANGE, 1},
    {"{\"small\":1," INNER ",\"items\":[],\"numbers\":[1,0]}", "numbers[1]",
     JSON_FAULT_OUT_OF_RANGE, 1},
    {"{\"small\":1,\"inner\":[],\"items\":[],\"numbers\":[]}", "inner",
     JSON_FAULT_WRONG_TYPE, 1},
};

/* Guards against lenient reading and errors without a place. */
static void
test_faults(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bads); i++) {
        struct sample s = {0};
        struct json_error err;

        g_test_message("%s", bads[i].text);
        g_assert_null(
            json_decode(&sample_shape, str_of(bads[i].text), &s, &err));
        g_assert_cmpint(err.fault, ==, bads[i].fault);
        g_assert_cmpstr(err.field, ==, bads[i].field);
        g_assert_cmpint(err.line, ==, bads[i].line);
        g_assert_true(err.message[0] != '\0');
    }
}

/* Guards against a crash of the recursive parser on deep nesting. */
static void
test_deep(void)
{
    g_autofree char *text = g_strnfill(1 << 20, '[');
    struct sample s = {0};
    struct json_error err;

    g_assert_null(json_decode(&sample_shape, str_of(text), &s, &err));
    g_assert_cmpint(err.fault, ==, JSON_FAULT_SYNTAX);
}

/* Guards against a rendered body that is not valid JSON. */
static void
test_encode_hostile(void)
{
    struct api_error err = {0};
    struct buf out = {0};

    api_fail(&err, 400, "bad_value", "a\"b\\", "\xff<\n>");
    api_error_render(&err, &out);
    g_assert_true(
        str_eq(buf_str(&out), STR("{\"error\":{\"code\":\"bad_value\","
                                  "\"message\":\"?<\\n>\","
                                  "\"field\":\"a\\\"b\\\\\"}}")));
    buf_free(&out);
}

static void
test_percent(void)
{
    struct buf out = {0};

    g_assert_true(http_percent_decode(STR("a%2Fb%20"), &out));
    g_assert_true(str_eq(buf_str(&out), STR("a/b ")));
    g_assert_false(http_percent_decode(STR("%"), &out));
    g_assert_false(http_percent_decode(STR("%1"), &out));
    g_assert_false(http_percent_decode(STR("%zz"), &out));
    g_assert_false(http_percent_decode(STR("%00"), &out));
    buf_free(&out);
}

/* Guards against forwarding a field that belongs to one connection. */
static void
test_hop_by_hop(void)
{
    struct http_headers h = {0};

    http_headers_add(&h, STR("Connection"), STR("close, X-One ,,x-two"));
    http_headers_add(&h, STR("X-One"), STR("1"));
    http_headers_add(&h, STR("x-keep"), STR("2"));
    http_headers_add(&h, STR("X-TWO"), STR("3"));
    http_headers_add(&h, STR("Transfer-Encoding"), STR("chunked"));
    http_headers_add(&h, STR("content-length"), STR("3"));
    http_headers_drop_hop(&h);
    g_assert_cmpuint(h.count, ==, 1);
    g_assert_true(str_eq(http_headers_get(&h, "X-Keep"), STR("2")));
    g_assert_null(http_headers_get(&h, "X-One").ptr);
    http_headers_free(&h);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json/round_trip", test_round_trip);
    g_test_add_func("/json/faults", test_faults);
    g_test_add_func("/json/deep", test_deep);
    g_test_add_func("/json/encode_hostile", test_encode_hostile);
    g_test_add_func("/http/percent", test_percent);
    g_test_add_func("/http/hop_by_hop", test_hop_by_hop);
    return g_test_run();
}
