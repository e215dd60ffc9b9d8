state_DEPS := base
state_EXPORTS := state_* confview_*
