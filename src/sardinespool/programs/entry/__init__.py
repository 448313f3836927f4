"""The entry program: callers', workers' and operators' HTTP."""
