#include "operator.h"

#include <string.h>

enum {
    TEXT_MAX = 256,
    MONTH_BYTES = 7, /* YYYY-MM */
};

static const struct json_field entry_fields[] = {
    JSON_U64_FIELD(operator_audit_entry, seq, JSON_UNIQUE, 1, INT64_MAX),
    JSON_I64_FIELD(operator_audit_entry, time_ms, 0, 0, INT64_MAX),
    JSON_NAME_FIELD(operator_audit_entry, key, JSON_OPTIONAL),
    JSON_STRING_FIELD(operator_audit_entry, action, 0, 1, TEXT_MAX),
    JSON_STRING_FIELD(operator_audit_entry, target, JSON_OPTIONAL, 0,
                      TEXT_MAX),
    JSON_U64_FIELD(operator_audit_entry, version, 0, 0, INT64_MAX),
    JSON_U64_FIELD(operator_audit_entry, old_version, 0, 0, INT64_MAX),
    JSON_STRING_FIELD(operator_audit_entry, outcome, 0, 1, TEXT_MAX),
};

static const struct json_shape entry_shape =
    JSON_SHAPE(operator_audit_entry, entry_fields);

static const struct json_field audit_fields[] = {
    JSON_LIST_FIELD(operator_audit, entries, count, &entry_shape,
                    OPERATOR_PAGE_MAX),
    JSON_U64_FIELD(operator_audit, next, 0, 0, INT64_MAX),
};

static const struct json_shape audit_shape =
    JSON_SHAPE(operator_audit, audit_fields);

static const struct json_field usage_team_fields[] = {
    JSON_NAME_FIELD(operator_usage_team, team, JSON_UNIQUE),
    JSON_U64_FIELD(operator_usage_team, cpu_ms, 0, 0, INT64_MAX),
    JSON_U64_FIELD(operator_usage_team, memory_mib_s, 0, 0, INT64_MAX),
    JSON_U64_FIELD(operator_usage_team, accelerator_ms, 0, 0, INT64_MAX),
};

static const struct json_shape usage_team_shape =
    JSON_SHAPE(operator_usage_team, usage_team_fields);

static const struct json_field usage_fields[] = {
    JSON_STRING_FIELD(operator_usage, month, 0, MONTH_BYTES, MONTH_BYTES),
    JSON_LIST_FIELD(operator_usage, teams, count, &usage_team_shape,
                    OPERATOR_TEAMS_MAX),
};

static const struct json_shape usage_shape =
    JSON_SHAPE(operator_usage, usage_fields);

struct json_doc *
operator_audit_parse(struct str body, struct operator_audit *out,
                     struct api_error *err)
{
    *out = (struct operator_audit){0};
    return api_decode(&audit_shape, body, out, err);
}

void
operator_audit_render(const struct operator_audit *audit, struct buf *out)
{
    json_encode(&audit_shape, audit, out);
}

struct json_doc *
operator_usage_parse(struct str body, struct operator_usage *out,
                     struct api_error *err)
{
    *out = (struct operator_usage){0};
    return api_decode(&usage_shape, body, out, err);
}

void
operator_usage_render(const struct operator_usage *usage, struct buf *out)
{
    json_encode(&usage_shape, usage, out);
}

static bool
check_page(const struct str values[3], struct operator_page *out,
           struct api_error *err)
{
    uint64_t limit = OPERATOR_PAGE_MAX;

    *out = (struct operator_page){0};
    if (values[0].ptr != NULL &&
        !str_to_u64(values[0], INT64_MAX, &out->after)) {
        return api_fail(err, 400, "bad_value", "after",
                        "must be the number of an entry");
    }
    if (values[1].ptr != NULL &&
        (!str_to_u64(values[1], OPERATOR_PAGE_MAX, &limit) || limit == 0)) {
        return api_fail(err, 400, "out_of_range", "limit",
                        "must be from 1 to %d", OPERATOR_PAGE_MAX);
    }
    if (values[2].ptr != NULL &&
        (!str_to_u64(values[2], INT64_MAX, &out->last) || out->last == 0 ||
         values[0].ptr != NULL)) {
        return api_fail(err, 400, "bad_value", "last",
                        "must be a number of entries, without after");
    }
    out->limit = (uint32_t)limit;
    return true;
}

bool
operator_page_parse(struct str query, struct operator_page *out,
                    struct api_error *err)
{
    static const char *const names[] = {"after", "limit", "last"};
    struct str values[3];
    bool ok;

    if (!api_query(query, names, 3, values, err)) {
        return false;
    }
    ok = check_page(values, out, err);
    for (int i = 0; i < 3; i++) {
        str_free(&values[i]);
    }
    return ok;
}

static bool
month_ok(struct str s)
{
    uint64_t year;
    uint64_t month;

    return s.len == MONTH_BYTES && s.ptr[4] == '-' &&
           str_to_u64(str_from(s.ptr, 4), 9999, &year) && year >= 1970 &&
           str_to_u64(str_from(s.ptr + 5, 2), 12, &month) && month >= 1;
}

bool
operator_month_parse(struct str query, char out[8], struct api_error *err)
{
    static const char *const names[] = {"month"};
    struct str value;
    bool ok;

    if (!api_query(query, names, 1, &value, err)) {
        return false;
    }
    ok = value.ptr != NULL && month_ok(value);
    if (ok) {
        memcpy(out, value.ptr, MONTH_BYTES);
        out[MONTH_BYTES] = '\0';
    }
    str_free(&value);
    return ok || api_fail(err, 400, "bad_value", "month", "must be YYYY-MM");
}
