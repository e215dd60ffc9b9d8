#include "endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

enum {
    /* "[" INET6_ADDRSTRLEN "]:65535" */
    ADDRESS_MAX = INET6_ADDRSTRLEN + 8,
    LEASE_MS_MAX = 3600 * 1000,
};

static const char *const state_names[] = {"ready", "leaving", NULL};

static const struct json_field endpoint_fields[] = {
    JSON_NAME_FIELD(endpoint, service, 0),
    JSON_STRING_FIELD(endpoint, address, 0, 1, ADDRESS_MAX),
    JSON_NAME_FIELD(endpoint, failure_domain, 0),
    JSON_U32_FIELD(endpoint, slots, 0, 1, ENDPOINT_SLOTS_MAX),
    JSON_U32_FIELD(endpoint, connections, 0, 1, ENDPOINT_SLOTS_MAX),
    JSON_ENUM_FIELD(endpoint, state, 0, state_names),
};

static const struct json_shape endpoint_shape =
    JSON_SHAPE(endpoint, endpoint_fields);

static const struct json_field answer_fields[] = {
    JSON_U64_FIELD(endpoint_answer, lease_ms, 0, 0, LEASE_MS_MAX),
};

static const struct json_shape answer_shape =
    JSON_SHAPE(endpoint_answer, answer_fields);

/* Splits address at its last colon into host and port; removes the brackets of
 * an IPv6 host. */
static bool
split_address(struct str address, struct str *host, struct str *port, bool *v6)
{
    size_t colon = address.len;

    while (colon > 0 && address.ptr[colon - 1] != ':') {
        colon--;
    }
    if (colon < 2) {
        return false;
    }
    *port = str_from(address.ptr + colon, address.len - colon);
    *host = str_from(address.ptr, colon - 1);
    *v6 = host->ptr[0] == '[';
    if (!*v6) {
        return true;
    }
    if (host->len < 2 || host->ptr[host->len - 1] != ']') {
        return false;
    }
    *host = str_from(host->ptr + 1, host->len - 2);
    return true;
}

bool
endpoint_address_ok(struct str address)
{
    char text[INET6_ADDRSTRLEN];
    struct in6_addr parsed;
    struct str host;
    struct str port;
    uint64_t number;
    bool v6;

    if (!split_address(address, &host, &port, &v6)) {
        return false;
    }
    if (host.len >= sizeof(text) || port.len > 5 || port.ptr[0] == '0' ||
        !str_to_u64(port, UINT16_MAX, &number)) {
        return false;
    }
    memcpy(text, host.ptr, host.len);
    text[host.len] = '\0';
    return inet_pton(v6 ? AF_INET6 : AF_INET, text, &parsed) == 1;
}

struct json_doc *
endpoint_parse(struct str body, struct endpoint *out, struct api_error *err)
{
    struct json_doc *doc;

    *out = (struct endpoint){0};
    doc = api_decode(&endpoint_shape, body, out, err);
    if (doc != NULL && !endpoint_address_ok(out->address)) {
        api_fail(err, 400, "bad_value", "address",
                 "must be a numeric address and port");
        json_doc_free(doc);
        return NULL;
    }
    return doc;
}

void
endpoint_render(const struct endpoint *e, struct buf *out)
{
    json_encode(&endpoint_shape, e, out);
}

struct json_doc *
endpoint_answer_parse(struct str body, struct endpoint_answer *out,
                      struct api_error *err)
{
    *out = (struct endpoint_answer){0};
    return api_decode(&answer_shape, body, out, err);
}

void
endpoint_answer_render(const struct endpoint_answer *a, struct buf *out)
{
    json_encode(&answer_shape, a, out);
}

static const struct api_route_def route_defs[] = {
    {HTTP_PUT, "/v1/endpoints/*", API_ENDPOINT_PUT, API_KEY_ENDPOINT},
    {HTTP_DELETE, "/v1/endpoints/*", API_ENDPOINT_DELETE, API_KEY_ENDPOINT},
};

const struct api_table endpoint_routes = {
    route_defs, sizeof(route_defs) / sizeof(route_defs[0])};
