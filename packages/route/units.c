#include "units.h"

#include "mem.h"

void
report_free(struct report *r)
{
    mem_free(r->items);
    *r = (struct report){0};
}

void
grants_free(struct grants *g)
{
    mem_free(g->items);
    *g = (struct grants){0};
}

int
grant_no_cmp(struct grant_no a, struct grant_no b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    if (a.seq != b.seq) {
        return a.seq < b.seq ? -1 : 1;
    }
    return 0;
}
