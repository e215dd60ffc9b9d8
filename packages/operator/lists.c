#include "operator.h"

static const struct json_field team_fields[] = {
    JSON_NAME_FIELD(operator_team, name, JSON_UNIQUE),
    JSON_U32_FIELD(operator_team, weight, 0, 1, OPERATOR_WEIGHT_MAX),
};

static const struct json_shape team_shape =
    JSON_SHAPE(operator_team, team_fields);

static const struct json_field teams_fields[] = {
    JSON_U64_FIELD(operator_teams, version, 0, 0, INT64_MAX),
    JSON_LIST_FIELD(operator_teams, teams, count, &team_shape,
                    OPERATOR_TEAMS_MAX),
};

static const struct json_shape teams_shape =
    JSON_SHAPE(operator_teams, teams_fields);

/* A limit that is meant to be none is written as a large number; the bound
 * keeps sums over all teams in 64 bits. */
#define LIMIT_MAX (INT64_C(1) << 48)

static const struct json_field limit_fields[] = {
    JSON_NAME_FIELD(operator_limit, team, JSON_UNIQUE),
    JSON_U64_FIELD(operator_limit, tasks, 0, 0, LIMIT_MAX),
    JSON_U64_FIELD(operator_limit, cpu_milli, 0, 0, LIMIT_MAX),
    JSON_U64_FIELD(operator_limit, memory_mib, 0, 0, LIMIT_MAX),
    JSON_U64_FIELD(operator_limit, accelerators, 0, 0, LIMIT_MAX),
    JSON_U64_FIELD(operator_limit, requests, 0, 0, LIMIT_MAX),
};

static const struct json_shape limit_shape =
    JSON_SHAPE(operator_limit, limit_fields);

static const struct json_field limits_fields[] = {
    JSON_U64_FIELD(operator_limits, version, 0, 0, INT64_MAX),
    JSON_LIST_FIELD(operator_limits, limits, count, &limit_shape,
                    OPERATOR_TEAMS_MAX),
};

static const struct json_shape limits_shape =
    JSON_SHAPE(operator_limits, limits_fields);

/* In a file the version may be left out, when the command line gives it. */
static const struct json_field teams_file_fields[] = {
    JSON_U64_FIELD(operator_teams, version, JSON_OPTIONAL, 0, INT64_MAX),
    JSON_LIST_FIELD(operator_teams, teams, count, &team_shape,
                    OPERATOR_TEAMS_MAX),
};

static const struct json_shape teams_file_shape =
    JSON_SHAPE(operator_teams, teams_file_fields);

static const struct json_field limits_file_fields[] = {
    JSON_U64_FIELD(operator_limits, version, JSON_OPTIONAL, 0, INT64_MAX),
    JSON_LIST_FIELD(operator_limits, limits, count, &limit_shape,
                    OPERATOR_TEAMS_MAX),
};

static const struct json_shape limits_file_shape =
    JSON_SHAPE(operator_limits, limits_file_fields);

static const struct json_field accepted_fields[] = {
    JSON_U64_FIELD(operator_accepted, version, 0, 0, INT64_MAX),
    JSON_BOOL_FIELD(operator_accepted, in_force, 0),
};

static const struct json_shape accepted_shape =
    JSON_SHAPE(operator_accepted, accepted_fields);

struct json_doc *
operator_teams_parse(struct str body, struct operator_teams *out,
                     struct api_error *err)
{
    *out = (struct operator_teams){0};
    return api_decode(&teams_shape, body, out, err);
}

void
operator_teams_render(const struct operator_teams *list, struct buf *out)
{
    json_encode(&teams_shape, list, out);
}

struct json_doc *
operator_limits_parse(struct str body, struct operator_limits *out,
                      struct api_error *err)
{
    *out = (struct operator_limits){0};
    return api_decode(&limits_shape, body, out, err);
}

struct json_doc *
operator_teams_read(struct str text, struct operator_teams *out,
                    struct json_error *err)
{
    *out = (struct operator_teams){.version = OPERATOR_NO_VERSION};
    return json_decode(&teams_file_shape, text, out, err);
}

struct json_doc *
operator_limits_read(struct str text, struct operator_limits *out,
                     struct json_error *err)
{
    *out = (struct operator_limits){.version = OPERATOR_NO_VERSION};
    return json_decode(&limits_file_shape, text, out, err);
}

void
operator_limits_render(const struct operator_limits *list, struct buf *out)
{
    json_encode(&limits_shape, list, out);
}

struct json_doc *
operator_accepted_parse(struct str body, struct operator_accepted *out,
                        struct api_error *err)
{
    *out = (struct operator_accepted){0};
    return api_decode(&accepted_shape, body, out, err);
}

void
operator_accepted_render(const struct operator_accepted *a, struct buf *out)
{
    json_encode(&accepted_shape, a, out);
}

bool
operator_if_match(struct str if_match, uint64_t body_version,
                  struct api_error *err)
{
    uint64_t version;
    struct str digits;

    if (if_match.ptr == NULL) {
        return api_fail(err, 428, "missing_header", "If-Match",
                        "required: the version that is to be replaced");
    }
    if (if_match.len < 3 || if_match.ptr[0] != '"' ||
        if_match.ptr[if_match.len - 1] != '"') {
        return api_fail(err, 400, "bad_value", "If-Match",
                        "must be a version in double quotes");
    }
    digits = str_from(if_match.ptr + 1, if_match.len - 2);
    if (!str_to_u64(digits, INT64_MAX, &version)) {
        return api_fail(err, 400, "bad_value", "If-Match",
                        "must be a version in double quotes");
    }
    if (version != body_version) {
        return api_fail(err, 400, "bad_value", "version",
                        "differs from If-Match");
    }
    return true;
}
