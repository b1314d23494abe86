"""Parts of tools/soak: stand-ins, faults and checks around real daemons."""
