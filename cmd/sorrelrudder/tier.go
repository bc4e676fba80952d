package main

// tierCmd groups the commands that create, inspect and change a fleet.
type tierCmd struct {
	Init    fleetInitCmd      `cmd:"" help:"Create a fleet whose consensus group stores its state on disk ('council' in the file): do so once, with the file of one member of the group, while that member does not run. The other members are admitted as they start."`
	Found   fleetBootstrapCmd `cmd:"" help:"Create a fleet whose consensus group keeps its state in memory ('council_in_memory' in the file): do so once, at one running member of the group."`
	Status  memberStatusCmd   `cmd:"" help:"Show what a process knows: its session, its leases, its running tasks, its voter and the leader."`
	Members votersCmd         `cmd:"" help:"List the members of the consensus group with their raft IDs and whether each is a voter."`
	Leases  leasesCmd         `cmd:"" help:"List the leases with their holders, their fencing tokens and the number of waiting sessions."`
	Tasks   tasksCmd          `cmd:"" help:"List the tasks with their newest slot and the number of slots by outcome."`
	Lease   struct {
		Hold     leaseHoldCmd     `cmd:"" help:"Hold a lease for a script: wait for the lease without limit, print its fencing token, and keep the lease until SIGTERM or SIGINT. Exit 1 if the lease is lost. With --limit=3, up to three scripts hold the lease at once, for example to patch three hosts at a time."`
		Handover leaseHandoverCmd `cmd:"" help:"Hand a lease over from its holder, the process at ADDRESS, to another member, once no request of the lease's task is in flight."`
		Revoke   leaseRevokeCmd   `cmd:"" help:"Revoke a lease. It becomes free once its holder has certainly stopped acting on it, after one lease term."`
	} `cmd:"" help:"Hold, hand over or revoke a lease."`
	Task struct {
		Run taskRunCmd `cmd:"" help:"Run the next slot of a task now, at the process that holds the task's lease."`
	} `cmd:"" help:"Run a task now. A slot is one scheduled run of a task."`
	State  sharedStateCmd `cmd:"" help:"Show the shared state as one process has it. With --diff, show the entries that another process has differently and the rule that settles each difference; exit 1 if there are any."`
	Forget forgetEntryCmd `cmd:"" help:"Withdraw the entry that the process at ADDRESS has written under a key."`
	Order  struct {
		Avoid excludeCmd `cmd:"" help:"Order all processes to send no new requests to a server, until the order is lifted."`
		Lift  includeCmd `cmd:"" help:"Lift the order to avoid a server."`
	} `cmd:"" help:"Order all processes to avoid a server, or lift such an order. The consensus group decides orders, and all members apply them."`
	Zone struct {
		Status zoneStatusCmd `cmd:"" help:"Show the decision on each zone and how far this process has applied it. The epoch of a zone is the number of its latest decision."`
		Plan   zonePlanCmd   `cmd:"" help:"Show what leaving a zone would do, and change nothing: how many servers would get no new requests, and how much the load of the others would grow."`
		Leave  zoneLeaveCmd  `cmd:"" help:"Order all processes to leave a zone, that is to send it no new requests, until 'zone return' or 'zone auto'."`
		Return zoneReturnCmd `cmd:"" help:"Order all processes to use a zone again, fully or up to a step, until 'zone leave' or 'zone auto'."`
		Auto   zoneAutoCmd   `cmd:"" help:"Let the fleet decide on a zone automatically again, from the zone's current step."`
	} `cmd:"" help:"Show zones, leave them and return to them."`
	Member struct {
		Add     voterAddCmd     `cmd:"" help:"Let a member join the consensus group as a voter."`
		Remove  voterRemoveCmd  `cmd:"" help:"Remove a member from the consensus group."`
		Replace voterReplaceCmd `cmd:"" help:"Let the new store of a member vote in place of its former store. Use this only once the former store is lost for good."`
	} `cmd:"" help:"Add, remove or replace a member of the consensus group."`
}
