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

// procFolder holds a folder for each process.
const procFolder = "/proc"

// tick is the unit of CPU time in /proc, which Linux fixes at 100 per second.
const tick = 10 * time.Millisecond

// usage is what a process has used at one moment.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
	peak     int64 // bytes
	written  int64 // bytes handed to storage
}

// readUsage reads the counters of a process; the ones that the host does not show stay 0.
func readUsage(folder, id string) (usage, error) {
	var u usage
	stat, err := os.ReadFile(filepath.Join(folder, id, "stat"))
	if err != nil {
		return u, fault.New(fault.NotFound, "read process", id, "%v", err)
	}
	// The command's name may hold blanks and ends at the last parenthesis.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system = 11, 12 // after the name
	if len(fields) <= system {
		return u, fault.New(fault.Invalid, "read process", id, "short stat")
	}
	for _, text := range fields[user : system+1] {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return u, fault.New(fault.Invalid, "read process", id, "%v", err)
		}
		u.cpu += time.Duration(n) * tick
	}
	u.resident = value(filepath.Join(folder, id, "status"), "VmRSS:") << 10
	u.peak = value(filepath.Join(folder, id, "status"), "VmHWM:") << 10
	u.written = value(filepath.Join(folder, id, "io"), "write_bytes:")
	return u, nil
}

// value returns the number on a line of a file that begins with key, or 0.
func value(file, key string) int64 {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, key); ok {
			if fields := strings.Fields(rest); len(fields) > 0 {
				n, _ := strconv.ParseInt(fields[0], 10, 64)
				return n
			}
		}
	}
	return 0
}

// machineLoad returns the load average of the last minute.
func machineLoad(folder string) float64 {
	text, err := os.ReadFile(filepath.Join(folder, "loadavg"))
	if err != nil {
		return 0
	}
	n, _ := strconv.ParseFloat(strings.Fields(string(text) + " 0")[0], 64)
	return n
}

// memberMetrics are the metrics of a control member that figures are made of.
type memberMetrics struct {
	Syncs   timer   `json:"replica.sync"`
	Entries counter `json:"replica.synced"`
	Plan    timer   `json:"lender.plan"`
	Allots  counter `json:"lender.changes"`
}

type counter struct {
	Count int64 `json:"count"`
}

type timer struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"` // ns, over the metrics' reservoir, which favours the last five minutes
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
