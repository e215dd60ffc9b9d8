#include "operator.h"

enum {
    KEY_BYTES_MAX = 256,
};

static const struct json_field request_fields[] = {
    JSON_ENUM_FIELD(operator_key_request, kind, 0, api_key_kind_names),
    JSON_NAME_FIELD(operator_key_request, team, JSON_OPTIONAL),
};

static const struct json_shape request_shape =
    JSON_SHAPE(operator_key_request, request_fields);

static const struct json_field created_fields[] = {
    JSON_NAME_FIELD(operator_key_created, id, 0),
    JSON_STRING_FIELD(operator_key_created, key, 0, 1, KEY_BYTES_MAX),
};

static const struct json_shape created_shape =
    JSON_SHAPE(operator_key_created, created_fields);

static const struct json_field key_fields[] = {
    JSON_NAME_FIELD(operator_key, id, JSON_UNIQUE),
    JSON_ENUM_FIELD(operator_key, kind, 0, api_key_kind_names),
    JSON_NAME_FIELD(operator_key, team, JSON_OPTIONAL),
    JSON_I64_FIELD(operator_key, created_ms, 0, 0, INT64_MAX),
};

static const struct json_shape key_shape =
    JSON_SHAPE(operator_key, key_fields);

static const struct json_field keys_fields[] = {
    JSON_LIST_FIELD(operator_keys, keys, count, &key_shape, OPERATOR_KEYS_MAX),
};

static const struct json_shape keys_shape =
    JSON_SHAPE(operator_keys, keys_fields);

struct json_doc *
operator_key_request_parse(struct str body, struct operator_key_request *out,
                           struct api_error *err)
{
    struct json_doc *doc;
    bool is_team;

    *out = (struct operator_key_request){0};
    doc = api_decode(&request_shape, body, out, err);
    if (doc == NULL) {
        return NULL;
    }
    is_team = out->kind + 1 == API_KEY_TEAM;
    if (is_team == (out->team.ptr != NULL)) {
        return doc;
    }
    api_fail(err, 400, is_team ? "missing_field" : "bad_value", "team",
             is_team ? "required with kind team"
                     : "allowed with kind team only");
    json_doc_free(doc);
    return NULL;
}

void
operator_key_request_render(const struct operator_key_request *r,
                            struct buf *out)
{
    json_encode(&request_shape, r, out);
}

struct json_doc *
operator_key_created_parse(struct str body, struct operator_key_created *out,
                           struct api_error *err)
{
    *out = (struct operator_key_created){0};
    return api_decode(&created_shape, body, out, err);
}

void
operator_key_created_render(const struct operator_key_created *k,
                            struct buf *out)
{
    json_encode(&created_shape, k, out);
}

struct json_doc *
operator_keys_parse(struct str body, struct operator_keys *out,
                    struct api_error *err)
{
    *out = (struct operator_keys){0};
    return api_decode(&keys_shape, body, out, err);
}

void
operator_keys_render(const struct operator_keys *list, struct buf *out)
{
    json_encode(&keys_shape, list, out);
}
