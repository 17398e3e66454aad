package nodes

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cuminfall.example/fleet/fault"
)

// procDirectory is the proc file system, which has a directory for each process.
const procDirectory = "/proc"

// cpuTick is the unit of CPU time in /proc. Linux uses 100 ticks per second.
const cpuTick = 10 * time.Millisecond

// usage holds the resources that a process has used so far.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
	peak     int64 // maximum of resident, in bytes
	written  int64 // bytes written to storage
}

// readUsage reads the resource usage of a process. Memory and writes are 0 where the host doesn't show them.
func readUsage(folder, id string) (usage, error) {
	var u usage
	stat, err := os.ReadFile(filepath.Join(folder, id, "stat"))
	if err != nil {
		return u, fault.New(fault.NotFound, "read process", id, "%v", err)
	}
	// The command name may contain spaces and parentheses; it ends at the last closing parenthesis.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system = 11, 12 // indexes of the fields after the name
	if len(fields) <= system {
		return u, fault.New(fault.Invalid, "read process", id, "stat has too few fields")
	}
	for _, text := range fields[user : system+1] {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return u, fault.New(fault.Invalid, "read process", id, "%v", err)
		}
		u.cpu += time.Duration(n) * cpuTick
	}
	u.resident = readNumber(filepath.Join(folder, id, "status"), "VmRSS:") << 10
	u.peak = readNumber(filepath.Join(folder, id, "status"), "VmHWM:") << 10
	u.written = readNumber(filepath.Join(folder, id, "io"), "write_bytes:")
	return u, nil
}

// readNumber returns the number after key on the line of a file that begins with key, or 0 if there is none.
func readNumber(file, key string) int64 {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if valueText, ok := strings.CutPrefix(line, key); ok {
			if fields := strings.Fields(valueText); len(fields) > 0 {
				n, _ := strconv.ParseInt(fields[0], 10, 64)
				return n
			}
		}
	}
	return 0
}

// hostLoad returns the load average of the host over the last minute, or 0 if it is unknown.
func hostLoad(folder string) float64 {
	text, err := os.ReadFile(filepath.Join(folder, "loadavg"))
	if err != nil {
		return 0
	}
	n, _ := strconv.ParseFloat(strings.Fields(string(text) + " 0")[0], 64)
	return n
}

// memberMetrics holds the metrics of a control member that the report uses.
type memberMetrics struct {
	DiskSync      timer   `json:"replica.sync"`
	SyncedEntries counter `json:"replica.synced"`
	Plan          timer   `json:"lender.plan"`
	ShareChanges  counter `json:"lender.changes"`
}

// counter is a metric that counts events.
type counter struct {
	Count int64 `json:"count"`
}

// timer is a metric that counts operations and averages their durations.
type timer struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"` // in nanoseconds, over a sample that is biased to the last five minutes
}

func readMetrics(client *http.Client, address string) (memberMetrics, error) {
	var m memberMetrics
	response, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return m, fault.New(fault.Unreachable, "read metrics", address, "%v", err)
	}
	defer response.Body.Close()
	return m, fault.Wrap(json.NewDecoder(response.Body).Decode(&m), fault.Invalid, "read metrics", address)
}
