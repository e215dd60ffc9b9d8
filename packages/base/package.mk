base_DEPS :=
base_EXPORTS := *
