endpoint_DEPS := base
endpoint_EXPORTS := endpoint_* upstream_*
