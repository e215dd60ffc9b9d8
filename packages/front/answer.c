#include "internal.h"

#include <stdio.h>
#include <stdlib.h>

#include "mem.h"

/* MHD_add_response_header rejects tabs, so they become spaces. */
static void
add_header(struct MHD_Response *out, const char *name, struct str value)
{
    struct str copy = str_dup(value);

    for (size_t i = 0; i < copy.len; i++) {
        if (copy.ptr[i] == '\t') {
            ((char *)copy.ptr)[i] = ' ';
        }
    }
    MHD_add_response_header(out, name, copy.ptr);
    str_free(&copy);
}

static enum MHD_Result
queue_response(struct request *r, int status, struct MHD_Response *out)
{
    enum MHD_Result result;

    if (out == NULL) {
        return MHD_NO;
    }
    if (atomic_load(&r->front->draining)) {
        MHD_add_response_header(out, "Connection", "close");
    }
    result = MHD_queue_response(r->connection, (unsigned)status, out);
    MHD_destroy_response(out);
    return result;
}

/* Takes ownership of the body and leaves *body empty. */
static struct MHD_Response *
create_response(struct buf *body)
{
    struct buf b = *body;

    *body = (struct buf){0};
    if (b.len == 0) {
        buf_free(&b);
        return MHD_create_response_from_buffer(0, (void *)"",
                                               MHD_RESPMEM_PERSISTENT);
    }
    return MHD_create_response_from_buffer_with_free_callback(b.len, b.ptr,
                                                              mem_free);
}

enum MHD_Result
answer_error(struct request *r)
{
    struct buf body = {0};
    struct MHD_Response *out;
    char seconds[16];

    counter_add(r->front->metrics.refused, 1);
    api_error_render(&r->error, &body);
    out = create_response(&body);
    if (out == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(out, "Content-Type", "application/json");
    MHD_add_response_header(out, "Guavarock-Outcome", "not-run");
    if (r->error.status == 405) {
        MHD_add_response_header(out, "Allow",
                                "GET, HEAD, POST, PUT, DELETE, PATCH, "
                                "OPTIONS");
    }
    if (r->error.status == 503) {
        snprintf(seconds, sizeof(seconds), "%u",
                 r->front->config.retry_after_s);
        MHD_add_response_header(out, "Retry-After", seconds);
    }
    return queue_response(r, r->error.status, out);
}

static ssize_t
read_no_body(void *cls, uint64_t pos, char *out, size_t max)
{
    (void)cls;
    (void)pos;
    (void)out;
    (void)max;
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

enum MHD_Result
answer_response(struct request *r)
{
    struct front_response *response = &r->response;
    int status = response->status;
    struct MHD_Response *out;

    /* libmicrohttpd sends 1xx itself; other values are no final status. */
    if (status < 200 || status > 599) {
        status = 502;
    }
    if (status == 204 || status == 304) {
        buf_free(&response->body);
    }
    if (r->call.method == HTTP_HEAD && response->head_length != 0) {
        out = MHD_create_response_from_callback(response->head_length, 1024,
                                                read_no_body, NULL, NULL);
    }
    else {
        out = create_response(&response->body);
    }
    if (out == NULL) {
        return MHD_NO;
    }
    http_headers_drop_hop(&response->headers);
    for (size_t i = 0; i < response->headers.count; i++) {
        add_header(out, response->headers.list[i].name.ptr,
                   response->headers.list[i].value);
    }
    http_headers_free(&response->headers);
    return queue_response(r, status, out);
}
