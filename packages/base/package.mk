base_DEPS :=
