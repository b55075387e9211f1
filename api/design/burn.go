package design

import . "goa.design/goa/v3/dsl"

// BurnReport reports on the service-level objectives of services and of kinds of batch jobs.
var BurnReport = Type("BurnReport", func() {
	Attribute("Generated", String, "Time at which the report was generated", func() { Format(FormatDateTime) })
	Attribute("Hosts", ArrayOf(BurnHost))
	Attribute("Services", ArrayOf(BurnService))
	Attribute("Kinds", ArrayOf(BurnKind))
	Required("Generated", "Hosts", "Services", "Kinds")
})

// BurnHost names the source of a daemon's counts in the report.
var BurnHost = Type("BurnHost", func() {
	Attribute("Host", String)
	Attribute("Asked", Boolean, "The daemon answered the request for its counts")
	Attribute("Until", String, "End of the stored counts that were used instead; year 1 when there are none")
	Required("Host", "Asked", "Until")
})

// BurnService reports on the objective of one service.
var BurnService = Type("BurnService", func() {
	Attribute("Service", String)
	Attribute("Bound", Int64, "Latency in nanoseconds within which a call counts as good")
	Attribute("Objective", Int, "Objective for good calls per 100,000")
	Attribute("Windows", ArrayOf(BurnWindow))
	Attribute("WorstZone", String)
	Attribute("WorstHour", String, "Start of the hour with the most calls that were not good; year 1 when every call was good")
	Attribute("Hours", ArrayOf(BurnHour))
	Required("Service", "Bound", "Objective", "Windows", "WorstZone", "WorstHour", "Hours")
})

// BurnWindow counts the calls of one service in one time window.
var BurnWindow = Type("BurnWindow", func() {
	Attribute("Name", String)
	Attribute("Requests", Int64)
	Attribute("Good", Int64)
	Attribute("Slow", Int64)
	Attribute("NotRun", Int64)
	Attribute("Shed", Int64)
	Attribute("Unknown", Int64)
	Attribute("Share", Float64, "Share of good calls; 1 without requests")
	Attribute("BurnRate", Float64, "Rate at which the error budget is used up; 1 uses it up exactly within its period")
	Attribute("BudgetLeft", Float64, "Remaining share of the error budget; negative when it is overspent")
	Required("Name", "Requests", "Good", "Slow", "NotRun", "Shed", "Unknown", "Share", "BurnRate", "BudgetLeft")
})

// BurnHour counts the calls of one service in one hour.
var BurnHour = Type("BurnHour", func() {
	Attribute("Begin", String)
	Attribute("Requests", Int64)
	Attribute("Good", Int64)
	Required("Begin", "Requests", "Good")
})

// BurnKind reports on the objective of one kind of batch jobs with deadlines.
var BurnKind = Type("BurnKind", func() {
	Attribute("Kind", String)
	Attribute("Objective", Int, "Objective for jobs finished before their deadline per 100,000")
	Attribute("Met", Int)
	Attribute("Late", Int)
	Attribute("Predicted", Int, "Unfinished jobs that are predicted to miss their deadline")
	Attribute("Open", Int)
	Attribute("Share", Float64)
	Required("Kind", "Objective", "Met", "Late", "Predicted", "Open", "Share")
})
