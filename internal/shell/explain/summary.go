package explain

import (
	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
)

// Summary is the state of a job with the counts of its tasks and evictions.
type Summary struct {
	State     string // Waiting, Running, Finished, Failed or Cancelled
	Count     map[controlpb.TaskState]int32
	Evictions int32
}

// Summarize returns the summary of a job.
func Summarize(view *controlstate.View, job *controlstate.Job) Summary {
	summary := Summary{Count: map[controlpb.TaskState]int32{}}
	view.TasksOf(job.Name(), func(task *controlstate.Task) bool {
		summary.Count[task.State]++
		summary.Evictions += task.Evictions
		return true
	})
	summary.State = jobState(job, summary.Count)
	return summary
}

func jobState(job *controlstate.Job, count map[controlpb.TaskState]int32) string {
	placed := count[controlpb.TaskState_STARTING] + count[controlpb.TaskState_RUNNING] + count[controlpb.TaskState_STOPPING]
	switch {
	case placed > 0:
		return "Running"
	case count[controlpb.TaskState_WAITING] > 0:
		return "Waiting"
	case job.Cancelled:
		return "Cancelled"
	case count[controlpb.TaskState_FAILED] > 0:
		return "Failed"
	}
	return "Finished"
}

// ZoneCounts holds the counts of one availability zone.
type ZoneCounts struct {
	Workers   int32 // registered and not lost
	Tasks     int32 // starting, running or stopping
	Endpoints int32 // with slots
}

// CountByZone returns the counts of each zone that has workers or endpoints, by zone name.
func CountByZone(view *controlstate.View) map[string]ZoneCounts {
	zones := map[string]ZoneCounts{}
	view.Workers(func(worker *controlstate.Worker) bool {
		zone := zones[worker.Zone]
		if !worker.Lost {
			zone.Workers++
		}
		zone.Tasks += int32(worker.Tasks)
		zones[worker.Zone] = zone
		return true
	})
	for _, endpoints := range view.Services {
		for _, endpoint := range endpoints {
			zone := zones[endpoint.Zone]
			if endpoint.Slots > 0 {
				zone.Endpoints++
			}
			zones[endpoint.Zone] = zone
		}
	}
	return zones
}
