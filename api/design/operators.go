package design

import . "goa.design/goa/v3/dsl"

// Accepted is the reply to an accepted change.
var Accepted = Type("Accepted", func() {
	Attribute("Version", UInt64, "Configuration version after the change")
	Required("Version")
})

// JobSpec describes a batch job.
var JobSpec = Type("JobSpec", func() {
	nameAttribute("Name", "Name of the job")
	nameAttribute("Team", "Team to whose quota the job is charged")
	nameAttribute("Kind", "Kind of its tasks; tasks of one kind share learned run times")
	Attribute("Urgent", Boolean, func() { Default(false) })
	Attribute("Priority", Int32, func() {
		Minimum(0)
		Maximum(1000)
		Default(100)
	})
	Attribute("Tasks", Int32, "Number of tasks", func() {
		Minimum(1)
		Maximum(100000)
		Default(1)
	})
	Attribute("Request", Resources, "Declared size of one task")
	Attribute("RunTime", String, "Declared run time of one task, a Go duration")
	Attribute("Deadline", String, "Time from submission until the job must be finished, a Go duration; absent for none")
	Attribute("Checkpoints", Boolean, func() { Default(false) })
	Attribute("Zones", ArrayOf(String), "Permitted availability zones; absent for all")
	Required("Name", "Team", "Request", "RunTime")
})

// JobStatus is the state of one job, with its number of tasks in each state.
var JobStatus = Type("JobStatus", func() {
	Attribute("Name", String)
	Attribute("Team", String)
	Attribute("Class", String)
	Attribute("State", String, "Waiting, Running, Finished, Failed or Cancelled")
	Attribute("Waiting", Int32)
	Attribute("Starting", Int32)
	Attribute("Running", Int32)
	Attribute("Stopping", Int32)
	Attribute("Finished", Int32)
	Attribute("Failed", Int32)
	Attribute("Cancelled", Int32)
	Attribute("Evictions", Int32)
	Required("Name", "Team", "Class", "State", "Waiting", "Starting", "Running", "Stopping", "Finished", "Failed", "Cancelled", "Evictions")
})

// ZoneStatus is the state of one availability zone.
var ZoneStatus = Type("ZoneStatus", func() {
	Attribute("Name", String)
	Attribute("Out", Boolean)
	Attribute("Workers", Int32, "Workers that are registered and not lost")
	Attribute("Tasks", Int32, "Tasks that are starting, running or stopping")
	Attribute("Endpoints", Int32)
	Required("Name", "Out", "Workers", "Tasks", "Endpoints")
})

// DaemonStatus is the status of a daemon and of the system as that daemon sees it.
var DaemonStatus = Type("DaemonStatus", func() {
	Attribute("Host", String, "Host of the daemon")
	Attribute("Ready", Boolean)
	Attribute("Reason", String, "Reason why it is not ready")
	Attribute("Version", UInt64, "Configuration version that is active at the daemon")
	Attribute("Index", UInt64, "Last log index that the daemon has applied")
	Attribute("Term", UInt64)
	Attribute("Leader", String, "Host of the leader; empty when none is known")
	Attribute("Age", String, "Time since the daemon's state was last confirmed to be current, a Go duration")
	Attribute("Zones", ArrayOf(ZoneStatus))
	Required("Host", "Ready", "Version", "Index", "Term", "Leader", "Age", "Zones")
})

// ActiveConfiguration is the active configuration, in the form that apply accepts.
var ActiveConfiguration = Type("ActiveConfiguration", func() {
	Attribute("Version", UInt64)
	Attribute("Inventory", String)
	Attribute("Rules", String)
	Attribute("ZonesOut", ArrayOf(String))
	Required("Version", "Inventory", "Rules", "ZonesOut")
})

// Member is one replica of the control log.
var Member = Type("Member", func() {
	Attribute("ID", UInt64, "Identity of the replica")
	Attribute("Host", String)
	Attribute("Address", String, "IP address and port of the RPCs between daemons")
	Attribute("Voter", Boolean)
	Required("ID", "Host", "Address", "Voter")
})

// Membership is the membership of the control log.
var Membership = Type("Membership", func() {
	Attribute("Leader", UInt64)
	Attribute("Members", ArrayOf(Member))
	Required("Leader", "Members")
})

// Explanation lists the reasons for the state of an object.
var Explanation = Type("Explanation", func() {
	Attribute("Kind", String)
	Attribute("Name", String)
	Attribute("State", String)
	Attribute("Lines", ArrayOf(String), "Reasons as sentences, the most important first")
	Attribute("Version", UInt64, "Configuration version on which the explanation is based")
	Attribute("Term", UInt64, "Term of the leader that gave the explanation")
	Required("Kind", "Name", "State", "Lines", "Version", "Term")
})

var _ = Service("operators", func() {
	Description("Changes and queries by operators. Every daemon accepts them.")
	commonErrors()
	HTTP(commonErrorResponses)

	Method("apply", func() {
		Description("Replaces the inventory and the rules if the base version is active.")
		Payload(func() {
			requestKeyAttribute()
			Attribute("BaseVersion", UInt64, "Version that this configuration replaces; 0 for the first")
			Attribute("Inventory", String, func() { MaxLength(maxConfigurationBytes) })
			Attribute("Rules", String, func() { MaxLength(maxConfigurationBytes) })
			Attribute("Operator", String, func() {
				MaxLength(100)
				Default("")
			})
			Required("RequestKey", "BaseVersion", "Inventory", "Rules")
		})
		Result(Accepted)
		HTTP(func() {
			POST("/v1/configuration")
			Response(StatusOK)
		})
	})

	Method("configuration", func() {
		Description("Returns the configuration that is active at this daemon.")
		Result(ActiveConfiguration)
		HTTP(func() {
			GET("/v1/configuration")
			Response(StatusOK)
		})
	})

	Method("zone", func() {
		Description("Takes an availability zone out of service or returns it to service.")
		Payload(func() {
			nameAttribute("Zone", "Availability zone")
			requestKeyAttribute()
			Attribute("BaseVersion", UInt64, "Version that the change replaces; 0 for any", func() { Default(0) })
			Attribute("Out", Boolean)
			Attribute("Operator", String, func() {
				MaxLength(100)
				Default("")
			})
			Required("Zone", "RequestKey", "Out")
		})
		Result(Accepted)
		HTTP(func() {
			POST("/v1/zones/{Zone}")
			Response(StatusOK)
		})
	})

	Method("status", func() {
		Description("Returns the status of this daemon and of the system as it sees it.")
		Result(DaemonStatus)
		HTTP(func() {
			GET("/v1/status")
			Response(StatusOK)
		})
	})

	Method("jobs", func() {
		Description("Lists the jobs, including those of services.")
		Result(ArrayOf(JobStatus))
		HTTP(func() {
			GET("/v1/jobs")
			Response(StatusOK)
		})
	})

	Method("submit", func() {
		Description("Submits a job.")
		Payload(func() {
			requestKeyAttribute()
			Attribute("Job", JobSpec)
			Required("RequestKey", "Job")
		})
		Result(Accepted)
		HTTP(func() {
			POST("/v1/jobs")
			Response(StatusOK)
		})
	})

	Method("cancel", func() {
		Description("Cancels jobs.")
		Payload(func() {
			requestKeyAttribute()
			Attribute("Names", ArrayOf(String, func() { Pattern(namePattern) }), func() {
				MinLength(1)
				MaxLength(10000)
			})
			Required("RequestKey", "Names")
		})
		Result(Accepted)
		HTTP(func() {
			POST("/v1/jobs/cancel")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Description("Returns the reasons for the state of a task, job, call, worker or zone.")
		Payload(func() {
			Attribute("Kind", String, func() { Enum("task", "job", "call", "worker", "zone") })
			Attribute("Name", String, func() {
				MinLength(1)
				MaxLength(200)
			})
			Required("Kind", "Name")
		})
		Result(Explanation)
		HTTP(func() {
			GET("/v1/explain/{Kind}")
			Param("Name")
			Response(StatusOK)
		})
	})

	Method("burn", func() {
		Description("Reports on the service-level objectives, with the calls at all daemons.")
		Result(BurnReport)
		HTTP(func() {
			GET("/v1/burn")
			Response(StatusOK)
		})
	})

	Method("members", func() {
		Description("Lists the replicas of the control log.")
		Result(Membership)
		HTTP(func() {
			GET("/v1/members")
			Response(StatusOK)
		})
	})

	Method("changeMember", func() {
		Description("Adds a learner, promotes a learner to voter, or removes a replica. One change is made at a time.")
		Payload(func() {
			Attribute("Change", String, func() { Enum("add", "promote", "remove") })
			Attribute("Member", Member)
			Required("Change", "Member")
		})
		Result(Membership)
		HTTP(func() {
			POST("/v1/members/{Change}")
			Body("Member")
			Response(StatusOK)
		})
	})
})
