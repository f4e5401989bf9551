package main

// systemCommand are the commands for the system of proxies and control-plane nodes.
type systemCommand struct {
	Up      systemUpCommand      `cmd:"" help:"Start keepers, proxies, stand-in servers in two regions and light traffic on this machine, and print figures."`
	Soak    systemSoakCommand    `cmd:"" help:"Play the real processes under random troubles that overlap, seed by seed, and judge what was seen. Exit 1: something broke."`
	Status  systemStatusCommand  `cmd:"" help:"Show the view, the chain, and what each keeper and proxy holds."`
	Why     systemWhyCommand     `cmd:"" help:"Show why a proxy sends a server nothing."`
	Backup  systemBackupCommand  `cmd:"" help:"Save the control state of a running system to a file."`
	Restore systemRestoreCommand `cmd:"" help:"Lay the control state of a backup into the empty data directory of a new system's keeper."`
}
