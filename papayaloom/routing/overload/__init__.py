"""Which requests are admitted or repeated under overload."""
