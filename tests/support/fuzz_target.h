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

#endif
