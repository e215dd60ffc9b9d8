#ifndef GV_OPEN_STARTS_H
#define GV_OPEN_STARTS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Until when starts of a run may still be sent that the leader has no result
 * of. A worker's next process could accept one, so that the run is released
 * only when none is open.
 */
struct open_starts {
    int64_t last_send_by; /* end of the window of the last start; 0: none */
    int64_t open_until;   /* 0: all starts have results */
    uint32_t count;       /* starts that this leader has sent */
};

/* Sets *s for a run that another leader may have started before now. */
void
open_starts_adopt(struct open_starts *s, int64_t now, int64_t lease_max_ms);
void
open_starts_add(struct open_starts *s, int64_t send_by);

/* The last start will have no result, but may still be sent. */
void
open_starts_abandon(struct open_starts *s);

/* The worker has listed the run. A start is sent once, so that an only one is
 * not open any more. */
void
open_starts_listed(struct open_starts *s);
bool
open_starts_any(const struct open_starts *s, int64_t now);

#endif
