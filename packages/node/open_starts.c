#include "open_starts.h"

#include "send_window.h"

void
open_starts_adopt(struct open_starts *s, int64_t now, int64_t lease_max_ms)
{
    *s =
        (struct open_starts){.open_until = send_window_end(now, lease_max_ms)};
}

void
open_starts_add(struct open_starts *s, int64_t send_by)
{
    s->last_send_by = send_by;
    s->count++;
}

void
open_starts_abandon(struct open_starts *s)
{
    if (s->last_send_by > s->open_until) {
        s->open_until = s->last_send_by;
    }
}

void
open_starts_listed(struct open_starts *s)
{
    if (s->count <= 1) {
        s->open_until = 0;
    }
}

bool
open_starts_any(const struct open_starts *s, int64_t now)
{
    return now < s->open_until;
}
