#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "bodies.h"

/* libFuzzer entry point: make fuzz. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

enum {
    EDIT_HEADER = 5,
};

/*
 * The input is an edit of one of the examples, because random text is hardly
 * ever JSON: example, position and length of the replaced part, new text. An
 * example number out of range means that the text stands alone.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct buf text = {0};
    struct str example = {"", 0};
    size_t from = 0;
    size_t len = 0;

    if (size < EDIT_HEADER) {
        return 0;
    }
    if (data[0] < body_count) {
        example = str_of(bodies[data[0]].example);
        from = (size_t)(data[1] << 8 | data[2]) % (example.len + 1);
        len = (size_t)(data[3] << 8 | data[4]) % (example.len - from + 1);
    }
    buf_append(&text, example.ptr, from);
    buf_append(&text, data + EDIT_HEADER, size - EDIT_HEADER);
    buf_append(&text, example.ptr + from + len, example.len - from - len);
    bodies_check(buf_str(&text));
    buf_free(&text);
    return 0;
}
