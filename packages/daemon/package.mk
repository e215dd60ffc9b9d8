daemon_DEPS := base store raft state sched route announce peer front caller endpoint \
	worker operator probe
daemon_EXPORTS := control_* settings_*
