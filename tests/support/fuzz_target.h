#ifndef GV_FUZZ_TARGET_H
#define GV_FUZZ_TARGET_H

#include "str.h"

/* Splits bytes into frames and decodes each payload as an Envelope. */
void
fuzz_frames(struct str bytes);

/*
 * Applies bytes as commands, each behind two bytes of length, and checks
 * that the state survives a snapshot unchanged.
 */
void
fuzz_commands(struct str bytes);

/* Reads bytes as a snapshot and as a configuration delta. */
void
fuzz_snapshot(struct str bytes);

/*
 * Loads settings. The input is an edit of a valid example, because random
 * text is hardly ever JSON: position and length of the replaced part (two
 * bytes each) and the new text. Loading must end with settings or an error.
 */
void
fuzz_settings(struct str bytes);

#endif
