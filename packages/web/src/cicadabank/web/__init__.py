"""HTTP served by circuits.web behind a guard, and answered from threads.

Modules are imported one by one: a process that starts takes only `listeners` and
`limits` before its sockets listen.
"""
