#ifndef GV_TEST_AWAIT_H
#define GV_TEST_AWAIT_H

#include <stdint.h>

#include "clock.h"

/* Aborts the test with a message. */
_Noreturn void
await_failed(const char *file, int line, const char *condition);

/* A short sleep between two looks at a condition. */
void
await_pause(void);

/* Waits until the condition holds; aborts the test when it does not within
 * timeout_ms. */
#define AWAIT_MS(condition, timeout_ms)                                       \
    do {                                                                      \
        int64_t await_until_ = clock_now() + (timeout_ms)*NS_PER_MS;          \
        while (!(condition)) {                                                \
            if (clock_now() > await_until_) {                                 \
                await_failed(__FILE__, __LINE__, #condition);                 \
            }                                                                 \
            await_pause();                                                    \
        }                                                                     \
    } while (0)

#define AWAIT(condition) AWAIT_MS(condition, 15000)

/* Aborts the test unless the condition holds; unlike g_assert also outside
 * GLib's test framework. */
#define REQUIRE(condition)                                                    \
    do {                                                                      \
        if (!(condition)) {                                                   \
            await_failed(__FILE__, __LINE__, #condition);                     \
        }                                                                     \
    } while (0)

#endif
