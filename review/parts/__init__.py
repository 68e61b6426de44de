"""Stand-ins of the second review: store, routers, clients, backends and hosts."""
