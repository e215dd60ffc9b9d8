sched_DEPS := base
