#include "json.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "json_internal.h"
#include "map.h"
#include "mem.h"

struct json_doc {
    json_t *root;
    void **arrays;
    size_t count;
    size_t cap;
};

struct decoder {
    struct json_doc *doc;
    struct json_error *err;
    struct json_path path;
};

static const char *const fault_names[] = {
    [JSON_FAULT_SYNTAX] = "bad_json",
    [JSON_FAULT_UNKNOWN_FIELD] = "unknown_field",
    [JSON_FAULT_MISSING_FIELD] = "missing_field",
    [JSON_FAULT_WRONG_TYPE] = "wrong_type",
    [JSON_FAULT_OUT_OF_RANGE] = "out_of_range",
    [JSON_FAULT_BAD_VALUE] = "bad_value",
    [JSON_FAULT_DUPLICATE] = "duplicate",
};

const char *
json_fault_name(enum json_fault fault)
{
    return fault_names[fault];
}

bool
json_name_ok(struct str name)
{
    static const char allowed[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                  "abcdefghijklmnopqrstuvwxyz"
                                  "0123456789._-";

    if (name.len == 0 || name.len > JSON_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < name.len; i++) {
        if (memchr(allowed, name.ptr[i], sizeof(allowed) - 1) == NULL) {
            return false;
        }
    }
    return true;
}

__attribute__((format(printf, 3, 4))) static bool
fail(struct decoder *d, enum json_fault fault, const char *fmt, ...)
{
    va_list args;

    d->err->fault = fault;
    json_path_format(&d->path, d->err->field, sizeof(d->err->field));
    va_start(args, fmt);
    vsnprintf(d->err->message, sizeof(d->err->message), fmt, args);
    va_end(args);
    return false;
}

static bool
wrong_type(struct decoder *d, const char *expected)
{
    return fail(d, JSON_FAULT_WRONG_TYPE, "expected %s", expected);
}

static void
enter(struct decoder *d, const char *key, size_t index)
{
    /* Tables are static and shallower than JSON_PATH_MAX. */
    assert(d->path.count < JSON_PATH_MAX);
    d->path.steps[d->path.count++] = (struct json_step){key, index};
}

static void
leave(struct decoder *d)
{
    d->path.count--;
}

static void *
doc_array(struct json_doc *doc, size_t count, size_t size)
{
    if (count == 0) {
        return NULL;
    }
    if (doc->count == doc->cap) {
        doc->cap = doc->cap == 0 ? 4 : doc->cap * 2;
        doc->arrays = mem_realloc(doc->arrays, doc->cap, sizeof(void *));
    }
    doc->arrays[doc->count] = mem_zalloc(count, size);
    return doc->arrays[doc->count++];
}

static bool
read_integer(struct decoder *d, const struct json_field *f, json_t *node,
             int64_t *out)
{
    json_int_t value = json_integer_value(node);

    if (!json_is_integer(node)) {
        return wrong_type(d, "an integer");
    }
    if (value < f->min || value > f->max) {
        return fail(d, JSON_FAULT_OUT_OF_RANGE, "must be from %lld to %lld",
                    (long long)f->min, (long long)f->max);
    }
    *out = value;
    return true;
}

static bool
read_real(struct decoder *d, const struct json_field *f, json_t *node,
          double *out)
{
    double value = json_number_value(node);

    if (!json_is_number(node)) {
        return wrong_type(d, "a number");
    }
    if (value < (double)f->min || value > (double)f->max) {
        return fail(d, JSON_FAULT_OUT_OF_RANGE, "must be from %lld to %lld",
                    (long long)f->min, (long long)f->max);
    }
    *out = value;
    return true;
}

static bool
read_string(struct decoder *d, const struct json_field *f, json_t *node,
            struct str *out)
{
    struct str s;

    if (!json_is_string(node)) {
        return wrong_type(d, "a string");
    }
    s = str_from(json_string_value(node), json_string_length(node));
    if (f->kind == JSON_KIND_NAME && !json_name_ok(s)) {
        return fail(d, JSON_FAULT_BAD_VALUE,
                    "must be 1 to %d of [A-Za-z0-9._-]", JSON_NAME_MAX);
    }
    if (f->kind == JSON_KIND_STRING &&
        (s.len < (size_t)f->min || s.len > (size_t)f->max)) {
        return fail(d, JSON_FAULT_OUT_OF_RANGE, "must have %lld to %lld bytes",
                    (long long)f->min, (long long)f->max);
    }
    *out = s;
    return true;
}

static bool
read_enum(struct decoder *d, const struct json_field *f, json_t *node,
          int *out)
{
    char list[96] = "";
    size_t len = 0;

    if (!json_is_string(node)) {
        return wrong_type(d, "a string");
    }
    for (int i = 0; f->names[i] != NULL; i++) {
        if (strcmp(json_string_value(node), f->names[i]) == 0) {
            *out = i;
            return true;
        }
    }
    for (int i = 0; f->names[i] != NULL && len < sizeof(list); i++) {
        len += (size_t)snprintf(list + len, sizeof(list) - len, "%s%s",
                                i == 0 ? "" : ", ", f->names[i]);
    }
    return fail(d, JSON_FAULT_BAD_VALUE, "must be one of %s", list);
}

static bool
read_list_size(struct decoder *d, const struct json_field *f, json_t *node)
{
    if (!json_is_array(node)) {
        return wrong_type(d, "an array");
    }
    if (json_array_size(node) > f->count_max) {
        return fail(d, JSON_FAULT_OUT_OF_RANGE,
                    "must have at most %zu elements", f->count_max);
    }
    return true;
}

static bool
read_object(struct decoder *d, const struct json_shape *shape, json_t *node,
            void *out);

static struct str
unique_key(const struct json_field *f, const char *element)
{
    const char *value = element + f->offset;

    if (f->kind == JSON_KIND_U64) {
        return str_from(value, sizeof(uint64_t));
    }
    return *(const struct str *)(const void *)value;
}

static bool
check_unique(struct decoder *d, const struct json_shape *shape,
             const struct json_field *f, char *elements, size_t count)
{
    struct map *seen = map_create();
    size_t i = 0;

    while (i < count &&
           map_put(seen, unique_key(f, elements + i * shape->size),
                   elements) == NULL) {
        i++;
    }
    map_destroy(seen);
    if (i == count) {
        return true;
    }
    enter(d, NULL, i);
    enter(d, f->name, 0);
    return fail(d, JSON_FAULT_DUPLICATE, "occurs more than once");
}

static bool
read_list(struct decoder *d, const struct json_field *f, json_t *node,
          char *out)
{
    const struct json_shape *shape = f->shape;
    size_t count = json_array_size(node);
    char *elements;

    if (!read_list_size(d, f, node)) {
        return false;
    }
    elements = doc_array(d->doc, count, shape->size);
    for (size_t i = 0; i < count; i++) {
        enter(d, NULL, i);
        if (!read_object(d, shape, json_array_get(node, i),
                         elements + i * shape->size)) {
            return false;
        }
        leave(d);
    }
    for (size_t i = 0; i < shape->count; i++) {
        if ((shape->fields[i].flags & JSON_UNIQUE) != 0 &&
            !check_unique(d, shape, &shape->fields[i], elements, count)) {
            return false;
        }
    }
    *(void **)(void *)(out + f->offset) = elements;
    *(size_t *)(void *)(out + f->count_offset) = count;
    return true;
}

static bool
read_numbers(struct decoder *d, const struct json_field *f, json_t *node,
             char *out)
{
    size_t count = json_array_size(node);
    uint64_t *numbers;

    if (!read_list_size(d, f, node)) {
        return false;
    }
    numbers = doc_array(d->doc, count, sizeof(*numbers));
    for (size_t i = 0; i < count; i++) {
        int64_t value = 0;

        enter(d, NULL, i);
        if (!read_integer(d, f, json_array_get(node, i), &value)) {
            return false;
        }
        leave(d);
        numbers[i] = (uint64_t)value;
    }
    *(uint64_t **)(void *)(out + f->offset) = numbers;
    *(size_t *)(void *)(out + f->count_offset) = count;
    return true;
}

static bool
read_bool(struct decoder *d, json_t *node, bool *out)
{
    if (!json_is_boolean(node)) {
        return wrong_type(d, "true or false");
    }
    *out = json_is_true(node);
    return true;
}

static bool
read_number(struct decoder *d, const struct json_field *f, json_t *node,
            void *out)
{
    int64_t value = 0;

    if (!read_integer(d, f, node, &value)) {
        return false;
    }
    if (f->kind == JSON_KIND_U32) {
        *(uint32_t *)out = (uint32_t)value;
    }
    else if (f->kind == JSON_KIND_U64) {
        *(uint64_t *)out = (uint64_t)value;
    }
    else {
        *(int64_t *)out = value;
    }
    return true;
}

static bool
read_field(struct decoder *d, const struct json_field *f, json_t *node,
           char *out)
{
    void *slot = out + f->offset;

    switch (f->kind) {
    case JSON_KIND_U32:
    case JSON_KIND_U64:
    case JSON_KIND_I64:
        return read_number(d, f, node, slot);
    case JSON_KIND_REAL:
        return read_real(d, f, node, slot);
    case JSON_KIND_BOOL:
        return read_bool(d, node, slot);
    case JSON_KIND_STRING:
    case JSON_KIND_NAME:
        return read_string(d, f, node, slot);
    case JSON_KIND_ENUM:
        return read_enum(d, f, node, slot);
    case JSON_KIND_OBJECT:
        return read_object(d, f->shape, node, slot);
    case JSON_KIND_LIST:
        return read_list(d, f, node, out);
    case JSON_KIND_NUMBERS:
        return read_numbers(d, f, node, out);
    }
    return false;
}

static bool
has_field(const struct json_shape *shape, const char *name)
{
    for (size_t i = 0; i < shape->count; i++) {
        if (strcmp(shape->fields[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
read_object(struct decoder *d, const struct json_shape *shape, json_t *node,
            void *out)
{
    const char *key;
    json_t *value;

    if (!json_is_object(node)) {
        return wrong_type(d, "an object");
    }
    json_object_foreach(node, key, value)
    {
        if (!has_field(shape, key)) {
            enter(d, key, 0);
            return fail(d, JSON_FAULT_UNKNOWN_FIELD, "unknown field");
        }
    }
    for (size_t i = 0; i < shape->count; i++) {
        const struct json_field *f = &shape->fields[i];

        value = json_object_get(node, f->name);
        if (value == NULL && (f->flags & JSON_OPTIONAL) != 0) {
            continue;
        }
        enter(d, f->name, 0);
        if (value == NULL) {
            return fail(d, JSON_FAULT_MISSING_FIELD, "missing field");
        }
        if (!read_field(d, f, value, out)) {
            return false;
        }
        leave(d);
    }
    return true;
}

static enum json_fault
syntax_fault(const json_error_t *e)
{
    switch (json_error_code(e)) {
    case json_error_numeric_overflow:
        return JSON_FAULT_OUT_OF_RANGE;
    case json_error_duplicate_key:
        return JSON_FAULT_DUPLICATE;
    default:
        return JSON_FAULT_SYNTAX;
    }
}

/* A missing field has no line of its own; the enclosing object's is given. */
static int
fault_line(struct decoder *d, struct str text)
{
    if (d->err->fault == JSON_FAULT_MISSING_FIELD) {
        d->path.count--;
    }
    return json_path_line(text, &d->path);
}

struct json_doc *
json_decode(const struct json_shape *shape, struct str text, void *out,
            struct json_error *err)
{
    struct decoder d = {.err = err};
    json_error_t e;
    json_t *root = json_loadb(text.len == 0 ? "" : text.ptr, text.len,
                              JSON_REJECT_DUPLICATES, &e);

    *err = (struct json_error){0};
    if (root == NULL) {
        err->line = e.line;
        fail(&d, syntax_fault(&e), "line %d, column %d: %s", e.line, e.column,
             e.text);
        return NULL;
    }
    d.doc = mem_zalloc(1, sizeof(*d.doc));
    d.doc->root = root;
    if (!read_object(&d, shape, root, out)) {
        err->line = fault_line(&d, text);
        json_doc_free(d.doc);
        return NULL;
    }
    return d.doc;
}

void
json_doc_free(struct json_doc *doc)
{
    if (doc == NULL) {
        return;
    }
    for (size_t i = 0; i < doc->count; i++) {
        mem_free(doc->arrays[i]);
    }
    mem_free(doc->arrays);
    json_decref(doc->root);
    mem_free(doc);
}
