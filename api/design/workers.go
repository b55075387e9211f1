package design

import . "goa.design/goa/v3/dsl"

// TaskFence identifies one assignment of a task to a worker.
var TaskFence = Type("TaskFence", func() {
	Attribute("Task", String, func() { Pattern(taskPattern) })
	Attribute("Fence", UInt64, "Fencing token of the assignment")
	Required("Task", "Fence")
})

// TaskReport reports the state of one assignment of a task.
var TaskReport = Type("TaskReport", func() {
	Extend(TaskFence)
	Attribute("Kind", String, func() { Enum("Running", "Finished", "Failed", "Stopped") })
	Attribute("Checkpoint", UInt64, "Number of the last durable checkpoint", func() { Default(0) })
	Attribute("Message", String, func() {
		MaxLength(200)
		Default("")
	})
	Required("Kind")
})

// Usage is the measured resource usage of one task.
var Usage = Type("Usage", func() {
	Extend(TaskFence)
	Attribute("Used", Resources)
	Attribute("Latency", Int64, "p99 latency in nanoseconds over the measured interval; 0 when there is none", func() {
		Minimum(0)
		Default(0)
	})
	Attribute("Age", Int64, "Nanoseconds since the end of the measured interval", func() {
		Minimum(0)
		Default(0)
	})
	Attribute("Progress", Int32, "Completed work in per mille; 0 when unknown", func() {
		Minimum(0)
		Maximum(1000)
		Default(0)
	})
	Required("Used")
})

// Order is an instruction to a worker to start, stop or throttle a task.
var Order = Type("Order", func() {
	Extend(TaskFence)
	Attribute("Kind", String, func() { Enum("Start", "Stop", "Throttle") })
	Attribute("Class", String, func() { Enum("Batch", "LatencyCritical") })
	Attribute("TaskKind", String)
	Attribute("Service", String, "Service of which the task is an executor")
	Attribute("Request", Resources, "Resources that are reserved for the task")
	Attribute("RunTime", Int64, "Declared run time in nanoseconds; 0 for a service")
	Attribute("Checkpoints", Boolean)
	Attribute("Checkpoint", UInt64, "Checkpoint to resume from; 0 for the beginning")
	Attribute("Throttle", Int32, "Percentage of its processors that the task may use")
	Required("Kind")
})

// workerIdentity declares the attributes that identify a worker in every request.
func workerIdentity() {
	nameAttribute("Worker", "Name in the inventory")
	Attribute("Incarnation", UInt64, "Number that increases with each start of the worker", func() { Minimum(1) })
	Required("Worker", "Incarnation")
}

var _ = Service("workers", func() {
	Description("Leases, orders and reports of workers. Every daemon accepts them.")
	commonErrors()
	HTTP(commonErrorResponses)

	Method("register", func() {
		Description("Registers a worker after its start, when it runs no task.")
		Payload(func() {
			workerIdentity()
			Attribute("Capacity", Resources)
			Required("Capacity")
		})
		Result(func() {
			Attribute("Lease", Int64, "Lease duration in nanoseconds, from the sending of the request")
			Required("Lease")
		})
		HTTP(func() {
			POST("/v1/workers/{Worker}/register")
			Response(StatusOK)
		})
	})

	Method("renew", func() {
		Description("Renews the lease of the worker, which covers all its tasks, and reports on the tasks.")
		Payload(func() {
			workerIdentity()
			Attribute("Reports", ArrayOf(TaskReport), func() { MaxLength(maxReports) })
			Attribute("Usage", ArrayOf(Usage), func() { MaxLength(maxReports) })
		})
		Result(func() {
			Attribute("Lease", Int64, "Lease duration in nanoseconds, from the sending of the request")
			Required("Lease")
		})
		HTTP(func() {
			POST("/v1/workers/{Worker}/renew")
			Response(StatusOK)
		})
	})

	Method("poll", func() {
		Description("Long-polls for orders.")
		Payload(func() {
			workerIdentity()
			Attribute("Seen", UInt64, "Number of the last orders received", func() { Default(0) })
			Attribute("Wait", Int64, "Maximum wait in nanoseconds, at most 30 s", func() {
				Minimum(0)
				Default(0)
			})
		})
		Result(func() {
			Attribute("Number", UInt64, "Number of these orders, to be sent as Seen")
			Attribute("Orders", ArrayOf(Order))
			Required("Number", "Orders")
		})
		HTTP(func() {
			POST("/v1/workers/{Worker}/poll")
			Response(StatusOK)
		})
	})

	Method("claim", func() {
		Description("Claims offered tasks before they are started.")
		Payload(func() {
			workerIdentity()
			Attribute("Tasks", ArrayOf(TaskFence), func() {
				MinLength(1)
				MaxLength(maxReports)
			})
			Required("Tasks")
		})
		Result(func() {
			Attribute("Granted", ArrayOf(TaskFence))
			Attribute("StartBy", Int64, "Time in nanoseconds from the sending of the claim within which a task must be started")
			Required("Granted", "StartBy")
		})
		HTTP(func() {
			POST("/v1/workers/{Worker}/claim")
			Response(StatusOK)
		})
	})
})
