#ifndef GV_JSON_H
#define GV_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * Strict conversion between JSON text (RFC 8259) and C structs, driven by
 * tables. A struct json_shape describes one struct: the same table parses and
 * renders it. Parsing rejects unknown and repeated fields, wrong types,
 * numbers out of range, strings of wrong length and NUL bytes in strings.
 */

enum json_kind {
    JSON_KIND_U32,     /* uint32_t, from min to max */
    JSON_KIND_U64,     /* uint64_t, from min to max */
    JSON_KIND_I64,     /* int64_t, from min to max */
    JSON_KIND_REAL,    /* double, from min to max */
    JSON_KIND_BOOL,    /* bool */
    JSON_KIND_STRING,  /* struct str, length from min to max bytes */
    JSON_KIND_NAME,    /* struct str, 1 to 64 of [A-Za-z0-9._-] */
    JSON_KIND_ENUM,    /* int, the index in names */
    JSON_KIND_OBJECT,  /* an embedded struct of that shape */
    JSON_KIND_LIST,    /* a pointer to an array of structs of that shape */
    JSON_KIND_NUMBERS, /* a pointer to an array of uint64_t, min to max */
};

enum {
    JSON_NAME_MAX = 64,
};

enum json_flag {
    /* Parsing keeps what the struct holds when the field is absent;
     * rendering leaves out a string whose ptr is NULL. */
    JSON_OPTIONAL = 1,
    /* No two elements of the list have the same value in this field. */
    JSON_UNIQUE = 2,
};

struct json_shape;

/* One row of a table; written with the JSON_*_FIELD macros below, which check
 * the member's type. */
struct json_field {
    const char *name;
    enum json_kind kind;
    unsigned flags;
    size_t offset;
    int64_t min;
    int64_t max;
    const char *const *names;       /* ENUM: labels, NULL at the end */
    const struct json_shape *shape; /* OBJECT, LIST */
    size_t count_offset;            /* LIST, NUMBERS: of the size_t count */
    size_t count_max;               /* LIST, NUMBERS */
};

struct json_shape {
    const struct json_field *fields;
    size_t count;
    size_t size; /* sizeof the struct */
};

/* The member's offset; does not compile unless its type is C. The parameter
 * is a type name, which cannot stand in parentheses.
 * NOLINTBEGIN(bugprone-macro-parentheses) */
#define JSON_OFFSET(T, M, C)                                                  \
    (offsetof(struct T, M) / (size_t) _Generic(((struct T *)NULL)->M, C : 1))
/* NOLINTEND(bugprone-macro-parentheses) */

#define JSON_U32_FIELD(T, M, FLAGS, LOW, HIGH)                                \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_U32, .flags = (FLAGS),                  \
        .offset = JSON_OFFSET(T, M, uint32_t), .min = (LOW), .max = (HIGH)    \
    }
#define JSON_U64_FIELD(T, M, FLAGS, LOW, HIGH)                                \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_U64, .flags = (FLAGS),                  \
        .offset = JSON_OFFSET(T, M, uint64_t), .min = (LOW), .max = (HIGH)    \
    }
#define JSON_I64_FIELD(T, M, FLAGS, LOW, HIGH)                                \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_I64, .flags = (FLAGS),                  \
        .offset = JSON_OFFSET(T, M, int64_t), .min = (LOW), .max = (HIGH)     \
    }
#define JSON_REAL_FIELD(T, M, FLAGS, LOW, HIGH)                               \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_REAL, .flags = (FLAGS),                 \
        .offset = JSON_OFFSET(T, M, double), .min = (LOW), .max = (HIGH)      \
    }
#define JSON_BOOL_FIELD(T, M, FLAGS)                                          \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_BOOL, .flags = (FLAGS),                 \
        .offset = JSON_OFFSET(T, M, bool)                                     \
    }
#define JSON_STRING_FIELD(T, M, FLAGS, LOW, HIGH)                             \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_STRING, .flags = (FLAGS),               \
        .offset = JSON_OFFSET(T, M, struct str), .min = (LOW), .max = (HIGH)  \
    }
#define JSON_NAME_FIELD(T, M, FLAGS)                                          \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_NAME, .flags = (FLAGS),                 \
        .offset = JSON_OFFSET(T, M, struct str)                               \
    }
#define JSON_ENUM_FIELD(T, M, FLAGS, NAMES)                                   \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_ENUM, .flags = (FLAGS),                 \
        .offset = JSON_OFFSET(T, M, int), .names = (NAMES)                    \
    }
#define JSON_OBJECT_FIELD(T, M, SHAPE)                                        \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_OBJECT,                                 \
        .offset = offsetof(struct T, M), .shape = (SHAPE)                     \
    }
#define JSON_LIST_FIELD(T, M, N, SHAPE, MOST)                                 \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_LIST, .offset = offsetof(struct T, M),  \
        .shape = (SHAPE), .count_offset = JSON_OFFSET(T, N, size_t),          \
        .count_max = (MOST)                                                   \
    }
#define JSON_OPTIONAL_LIST_FIELD(T, M, N, SHAPE, MOST)                        \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_LIST, .flags = JSON_OPTIONAL,           \
        .offset = offsetof(struct T, M), .shape = (SHAPE),                    \
        .count_offset = JSON_OFFSET(T, N, size_t), .count_max = (MOST)        \
    }
#define JSON_NUMBERS_FIELD(T, M, N, LOW, HIGH, MOST)                          \
    {                                                                         \
        .name = #M, .kind = JSON_KIND_NUMBERS,                                \
        .offset = JSON_OFFSET(T, M, uint64_t *), .min = (LOW), .max = (HIGH), \
        .count_offset = JSON_OFFSET(T, N, size_t), .count_max = (MOST)        \
    }

/* Initialiser of the json_shape of struct T. */
#define JSON_SHAPE(T, FIELDS)                                                 \
    {                                                                         \
        (FIELDS), sizeof(FIELDS) / sizeof((FIELDS)[0]), sizeof(struct T)      \
    }

enum json_fault {
    JSON_FAULT_SYNTAX,
    JSON_FAULT_UNKNOWN_FIELD,
    JSON_FAULT_MISSING_FIELD,
    JSON_FAULT_WRONG_TYPE,
    JSON_FAULT_OUT_OF_RANGE,
    JSON_FAULT_BAD_VALUE,
    JSON_FAULT_DUPLICATE,
};

struct json_error {
    enum json_fault fault;
    int line;        /* 1-based, 0 when unknown */
    char field[128]; /* path such as teams[3].weight; may be empty */
    char message[160];
};

/* Owns the strings and arrays of a parsed struct. */
struct json_doc;

/*
 * Parses text into *out, a struct of that shape whose optional fields hold
 * their defaults. Returns NULL and fills *err on failure, *out is then
 * unusable; otherwise the document, which must live as long as *out.
 */
struct json_doc *
json_decode(const struct json_shape *shape, struct str text, void *out,
            struct json_error *err);
void
json_doc_free(struct json_doc *doc);

/* The line, from 1, of a member of the object in text, which json_decode has
 * accepted; 0 without such a member. */
int
json_member_line(struct str text, const char *member);

/* Appends the struct as JSON without white space. */
void
json_encode(const struct json_shape *shape, const void *in, struct buf *out);

/* A short fixed name such as "out_of_range". */
const char *
json_fault_name(enum json_fault fault);

/* 1 to 64 of [A-Za-z0-9._-]. */
bool
json_name_ok(struct str name);

#endif
