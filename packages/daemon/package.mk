daemon_DEPS := base store raft state sched route peer front caller endpoint \
	worker operator platform
daemon_EXPORTS := control_* settings_*
