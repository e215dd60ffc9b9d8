#include "json.h"

#include <jansson.h>

#include "mem.h"

static json_t *
object_from(const struct json_shape *shape, const char *in);

/* Strings come from checked input; bytes that are not UTF-8 are replaced so
 * that a rendered body is always valid. */
static json_t *
string_from(struct str s)
{
    json_t *node = json_stringn(s.len == 0 ? "" : s.ptr, s.len);
    struct str ascii;

    if (node != NULL) {
        return node;
    }
    ascii = str_dup(s);
    for (size_t i = 0; i < ascii.len; i++) {
        if ((unsigned char)ascii.ptr[i] >= 0x80) {
            ((char *)ascii.ptr)[i] = '?';
        }
    }
    node = json_stringn(ascii.ptr, ascii.len);
    str_free(&ascii);
    return node;
}

static json_t *
enum_from(const struct json_field *f, int value)
{
    int i = 0;

    while (f->names[i] != NULL && i != value) {
        i++;
    }
    return json_string(f->names[i] == NULL ? "" : f->names[i]);
}

static json_t *
list_from(const struct json_field *f, const char *in)
{
    const char *elements =
        *(const char *const *)(const void *)(in + f->offset);
    size_t count = *(const size_t *)(const void *)(in + f->count_offset);
    json_t *list = json_array();

    for (size_t i = 0; i < count; i++) {
        json_array_append_new(
            list, object_from(f->shape, elements + i * f->shape->size));
    }
    return list;
}

static json_t *
numbers_from(const struct json_field *f, const char *in)
{
    const uint64_t *numbers =
        *(const uint64_t *const *)(const void *)(in + f->offset);
    size_t count = *(const size_t *)(const void *)(in + f->count_offset);
    json_t *list = json_array();

    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, json_integer((json_int_t)numbers[i]));
    }
    return list;
}

static json_t *
value_from(const struct json_field *f, const char *in)
{
    const void *slot = in + f->offset;

    switch (f->kind) {
    case JSON_KIND_U32:
        return json_integer(*(const uint32_t *)slot);
    case JSON_KIND_U64:
    case JSON_KIND_I64:
        return json_integer(*(const json_int_t *)slot);
    case JSON_KIND_REAL:
        return json_real(*(const double *)slot);
    case JSON_KIND_BOOL:
        return json_boolean(*(const bool *)slot);
    case JSON_KIND_STRING:
    case JSON_KIND_NAME:
        return string_from(*(const struct str *)slot);
    case JSON_KIND_ENUM:
        return enum_from(f, *(const int *)slot);
    case JSON_KIND_OBJECT:
        return object_from(f->shape, slot);
    case JSON_KIND_LIST:
        return list_from(f, in);
    case JSON_KIND_NUMBERS:
        return numbers_from(f, in);
    }
    return json_null();
}

static bool
is_absent(const struct json_field *f, const char *in)
{
    const void *slot = in + f->offset;

    if ((f->flags & JSON_OPTIONAL) == 0) {
        return false;
    }
    return (f->kind == JSON_KIND_STRING || f->kind == JSON_KIND_NAME) &&
           ((const struct str *)slot)->ptr == NULL;
}

static json_t *
object_from(const struct json_shape *shape, const char *in)
{
    json_t *object = json_object();

    for (size_t i = 0; i < shape->count; i++) {
        const struct json_field *f = &shape->fields[i];

        if (!is_absent(f, in)) {
            json_object_set_new_nocheck(object, f->name, value_from(f, in));
        }
    }
    return object;
}

static int
append_chunk(const char *chunk, size_t size, void *out)
{
    buf_append(out, chunk, size);
    return 0;
}

void
json_encode(const struct json_shape *shape, const void *in, struct buf *out)
{
    json_t *root = object_from(shape, in);

    json_dump_callback(root, append_chunk, out, JSON_COMPACT);
    json_decref(root);
}
