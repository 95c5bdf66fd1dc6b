package main

import (
	"encoding/json"
	"fmt"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// httpHeaderBytes is the approximate size of the headers of a small request and its response.
const httpHeaderBytes = 300

// printPollSizes prints the size of one poll of a worker for several numbers of running tasks.
func printPollSizes() {
	call, _ := json.Marshal(platform.WorkerRequest{Partition: "w-bg-south-1-0", Epoch: 12})
	for _, tasks := range []int{0, 4, 16} {
		report := platform.WorkerReport{
			Worker: "worker-bg-south-1-0", Boot: "847bf270-9850-4020-93d8-b2e2be3b602c", Clock: platform.WorkerTime(time.Hour),
			Epoch: 12, Capacity: model.Resources{MilliCPU: 32_000, MemoryMiB: 128 << 10},
		}
		for n := range tasks {
			report.Tasks = append(report.Tasks, platform.TaskReport{
				TaskRef:   platform.TaskRef{Task: model.TaskID(fmt.Sprintf("w-bg-south-1-0~847bf270-9850-4020-93d8-b2e2be3b602c/%d", n)), Attempt: 1},
				Partition: "w-bg-south-1-0", Epoch: 12, State: platform.TaskRunning, LeaseUntil: platform.WorkerTime(time.Hour),
				Used: model.Resources{MilliCPU: 1500, MemoryMiB: 2048}, Ran: time.Minute,
			})
		}
		response, _ := json.Marshal(platform.WorkerResponse{Report: &report})
		fmt.Printf("poll of a worker with %d tasks: %d bytes including about %d bytes of headers\n", tasks, len(call)+len(response)+httpHeaderBytes, httpHeaderBytes)
	}
}
