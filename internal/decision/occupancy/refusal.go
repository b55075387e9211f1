package occupancy

// Refusal is why a host with room for a task doesn't get it.
type Refusal string

// The refusals, in the order in which they are looked for.
const (
	NotRefused    Refusal = ""
	HeldRoom      Refusal = "Held"        // its room is held for a task of another step
	ReservedRoom  Refusal = "Reserved"    // its room is reserved for tasks that are being moved
	OtherPool     Refusal = "Pool"        // the queue of the task may not use its pool
	MissingLabel  Refusal = "Label"       // it lacks the label that the step requires
	WorkerLimit   Refusal = "WorkerLimit" // it runs as many tasks of the step as a worker may
	SuspectTasks  Refusal = "Suspects"    // it is reserved for tasks that may crash it, or runs one
	MissingTicket Refusal = "Ticket"      // the advice service hasn't admitted the step there
	Disturbed     Refusal = "Disturbed"   // the task would disturb what runs there
)
