#ifndef GV_API_KEYS_H
#define GV_API_KEYS_H

#include "state.h"

enum {
    API_KEY_TEXT_BYTES = 64,
};

/* Generates a random key: its text with a NUL byte, and its stored hash. */
void
api_key_generate(char text[API_KEY_TEXT_BYTES],
                 uint8_t hash[STATE_HASH_BYTES]);

#endif
