package main

type tierCmd struct {
	Init    fleetInitCmd      `cmd:"" help:"Found a fleet, once, at one member of its council that does not run: the others are admitted as they start."`
	Found   fleetBootstrapCmd `cmd:"" help:"Found a fleet whose council is in memory, once, at one member of the council that runs."`
	Status  memberStatusCmd   `cmd:"" help:"What a process knows: its session, what it holds, who leads."`
	Members votersCmd         `cmd:"" help:"Who has a seat in the council, who votes, who listens."`
	Leases  leasesCmd         `cmd:"" help:"Who holds and who waits for what."`
	Tasks   tasksCmd          `cmd:"" help:"What became of the tasks' slots."`
	Lease   struct {
		Hold     leaseHoldCmd     `cmd:"" help:"Hold a lease until SIGTERM or SIGINT: print its token once it is held. Exit 1 if it is lost. For scripts, as patching three hosts at a time."`
		Handover leaseHandoverCmd `cmd:"" help:"Have the holder at ADDRESS give a lease to a member, as soon as nothing of its task is out."`
		Revoke   leaseRevokeCmd   `cmd:"" help:"Take a lease from its holder: it is free once the holder has surely stopped."`
	} `cmd:"" help:"Change a lease."`
	Task struct {
		Run taskRunCmd `cmd:"" help:"Have the next slot of a task done now, by whoever holds the task's lease."`
	} `cmd:"" help:"Have a task done."`
	State  sharedStateCmd `cmd:"" help:"What is shared among the members, as a process has it; --diff: what another has differently, and which rule will settle it."`
	Forget forgetEntryCmd `cmd:"" help:"Have the process at ADDRESS take back what it says under a key."`
	Order  struct {
		Avoid excludeCmd `cmd:"" help:"Have all processes send nothing new to a server, until the order is lifted."`
		Lift  includeCmd `cmd:"" help:"Lift such an order."`
	} `cmd:"" help:"Orders on servers, which the council decides and all members carry out."`
	Zone struct {
		Status zoneStatusCmd `cmd:"" help:"What is decided of each zone, and how far this process has followed."`
		Plan   zonePlanCmd   `cmd:"" help:"What leaving a zone would do: which servers take nothing more, and how much more the others would have. Changes nothing."`
		Leave  zoneLeaveCmd  `cmd:"" help:"Have all processes leave a zone, until 'zone return' or 'zone auto'."`
		Return zoneReturnCmd `cmd:"" help:"Have all processes use a zone wholly or up to a step, until 'zone leave' or 'zone auto'."`
		Auto   zoneAutoCmd   `cmd:"" help:"Leave a zone to the fleet's own judgement again, from the step where it is."`
	} `cmd:"" help:"Leaving zones, and returning to them."`
	Member struct {
		Add     voterAddCmd     `cmd:"" help:"Let a member have a seat in the council."`
		Remove  voterRemoveCmd  `cmd:"" help:"Take a member's seat away."`
		Replace voterReplaceCmd `cmd:"" help:"Have a member's new store vote, and its former one no more. Only once that is gone for good."`
	} `cmd:"" help:"Change who has a seat in the council."`
}
